// Package test contains end-to-end tests that run the real programs.
package test
