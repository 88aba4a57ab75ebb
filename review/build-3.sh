#!/bin/bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. The daemons come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-3/standin ./review/_stand3
