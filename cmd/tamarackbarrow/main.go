// Command tamarackbarrow runs a daemon and provides the operators' commands.
package main

import (
	"os"

	"tamarackbarrow/io/tbcommand"
	"tamarackbarrow/platform"
)

func main() {
	os.Exit(tbcommand.Run(os.Args[1:], os.Stdout, os.Stderr, platform.New, platform.ConfigFormat{}))
}
