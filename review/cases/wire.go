package main

import (
	_ "embed"
	"fmt"
	"strings"
)

// wireText holds the names of the users' platform, one a line after the name by which the
// stand-ins use it.
//
//go:embed wire.txt
var wireText string

var wireNames = parseWireNames(wireText)

func parseWireNames(text string) map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		names[name] = value
	}
	return names
}

// wire returns a name of the platform.
func wire(name string) string {
	value, ok := wireNames[name]
	if !ok {
		panic(skipped{fmt.Errorf("wire.txt does not name %s", name)})
	}
	return value
}
