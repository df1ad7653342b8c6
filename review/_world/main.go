// Command world plays the scripted cases of the second review: entries as processes, and
// stand-ins of the platform, its runners and its clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// root is the project's folder.
var root string

// verdict tells whether the rule was kept.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
)

var cases = map[string]func(dir string, trouble bool) (verdict, error){
	"former-owner": formerOwner,
	"idle-clock":   idleClock,
	"upkeep":       upkeep,
	"stray-room":   strayRoom,
	"two-crashes":  twoCrashes,
	"gang":         gangFailure,
	"waiting":      waitingCount,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: world CASE FOLDER")
		os.Exit(2)
	}
	dir, err := filepath.Abs(os.Args[2])
	if err == nil {
		root, err = os.Getwd()
	}
	play, ok := cases[os.Args[1]]
	if err != nil || !ok {
		fmt.Fprintln(os.Stderr, "no such case, or folder:", err)
		os.Exit(2)
	}
	v, err := play(dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	if v == broken {
		fmt.Println("the rule was broken; see record.txt")
	} else {
		fmt.Println("the rule held")
	}
	os.Exit(int(v))
}
