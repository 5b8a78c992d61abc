// Command regenerate measures and writes the tables of docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cuminwheel/cuminwheel/capacity"
)

// marker ends the part of the page that is written by hand.
const (
	page   = "docs/CAPACITY.md"
	marker = "<!-- The rest is written by make capacity. -->\n"
)

func main() {
	testing.Init()
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "regenerate:", err)
		os.Exit(1)
	}
}

func run() error {
	raw, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	head, _, found := strings.Cut(string(raw), marker)
	if !found {
		return fmt.Errorf("%s lacks the line %q", page, marker)
	}
	tables := capacity.Page(capacity.MeasureSlopes(), capacity.Expected)
	return os.WriteFile(page, []byte(head+marker+"\n"+tables), 0o644)
}
