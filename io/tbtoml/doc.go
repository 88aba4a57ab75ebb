// Package tbtoml reads TOML files and reports all errors of a file at once,
// each with file, line and key.
package tbtoml
