// Package tbbundlefile reads bundles from TOML files.
package tbbundlefile
