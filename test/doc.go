// Package test holds the end-to-end tests, which run the real programs.
package test
