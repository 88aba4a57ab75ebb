// Command harness plays one case of the review. It starts the project's programs with the commands of
// the deploy file on loopback addresses, and plays the clients, the runners, the operator and the platform.
package main

import (
	"flag"
	"os"
)

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	folder := flag.String("folder", ".", "folder for record.txt")
	trouble := flag.Int("trouble", 1, "0 plays the case without its disruption")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		os.Exit(int(cannotRun))
	}
	os.Exit(int(play(*root, *folder, *trouble != 0)))
}
