// Package tbtoml reads TOML files so that every fault is reported in one go,
// each with file, line and key.
package tbtoml
