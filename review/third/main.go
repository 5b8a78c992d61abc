package main

import (
	"fmt"
	"os"
)

// cases are the cases by name; each registers itself.
var cases = map[string]func(*fleet){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE FOLDER")
		os.Exit(exitFailed)
	}
	cases[os.Args[1]](newFleet(os.Args[2]))
}
