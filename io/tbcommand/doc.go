// Package tbcommand implements the tamarackbarrow command line.
package tbcommand
