// Command cases runs the cases of the review: cases NAME FOLDER. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment, the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// trouble is false if the disruption is left out.
var trouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(*fleet, *record) (broken bool){
	"expect":          caseExpect,
	"copies":          caseCopies,
	"reverted":        caseReverted,
	"quota":           caseQuota,
	"race":            caseRace,
	"alone":           caseAlone,
	"keys":            caseKeys,
	"late-ping":       caseLatePing,
	"forgotten-leave": caseForgottenLeave,
}

// timeLimit is when a case that has not ended is given up.
const timeLimit = 116 * time.Second

func main() { os.Exit(runCase()) }

func runCase() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		return 2
	}
	defer func() {
		if r := recover(); r != nil {
			s, ok := r.(skipped)
			if !ok {
				panic(r)
			}
			fmt.Println("could not run:", s)
			code = 2
		}
	}()
	rec := newRecord(filepath.Join(os.Args[2], "record.txt"))
	rec.add("case %s, trouble %t", os.Args[1], trouble)
	f := newFleet(rec)
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		f.close()
		fmt.Println("could not run: ended before its time, or too slow")
		os.Exit(2)
	}()
	if cases[os.Args[1]](f, rec) {
		rec.add("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
