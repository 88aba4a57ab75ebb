#!/usr/bin/env bash
# Builds the stand-ins of the scripts: clients, runners, operator and platform in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/harness ./review/_harness
