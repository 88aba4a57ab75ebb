// Package tbcommand is the command line of tamarackbarrow.
package tbcommand
