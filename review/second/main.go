// Command second runs the cases of the second review. A case starts the project's programs as
// the deploy file does, on loopback addresses, with small stand-ins around them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// trouble reports whether the case brings its disruption about.
var trouble = os.Getenv("TROUBLE") != "0"

// cases return what broke the rule, or "".
var cases = map[string]func(f *fleet) string{}

// addresses are the loopback addresses that a case uses.
var addresses = map[string][]string{}

// longestRun is how long a case may run.
const longestRun = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-second CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) (code int) {
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	r := newRecord(filepath.Join(folder, "record.txt"))
	r.say("case %s, trouble %v, %s", name, trouble, time.Now().UTC().Format(time.RFC3339))
	var f *fleet
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-ended:
		case <-time.After(longestRun):
		}
		r.say("the case was ended, or took too long")
		if f != nil {
			f.stop()
		}
		os.Exit(2)
	}()
	defer func() {
		if p := recover(); p != nil {
			c, ok := p.(cannotRun)
			if !ok {
				c.reason = fmt.Sprint(p)
			}
			r.say("the case could not run: %s", c.reason)
			code = 2
		}
		if f != nil {
			f.stop()
		}
		r.say("exit %d", code)
	}()
	f = newFleet(r, root, addresses[name])
	if broken := cases[name](f); broken != "" {
		r.say("rule broken: %s", broken)
		return 1
	}
	r.say("rule held")
	return 0
}
