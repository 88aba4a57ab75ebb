// Package tbbundlefile reads and checks bundles, which operators write as TOML files.
package tbbundlefile
