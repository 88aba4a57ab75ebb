// Command lab plays the cases of the second review against the built system.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: lab CASE RECORD, in the repository's root")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("unknown case", os.Args[1])
		os.Exit(2)
	}
	l := newLab(os.Args[2])
	time.AfterFunc(maxTime, func() { l.unusable("not over after %s", maxTime) })
	l.logf("case %s, disruption %t", os.Args[1], trouble())
	play(l)
}
