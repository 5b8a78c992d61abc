package main

import (
	_ "embed"
	"strings"
)

// wireText holds the names of the users' platform, one a line after the name by which the
// stand-ins use it.
//
//go:embed wire.txt
var wireText string

// settingsText is a settings file in the platform's format, with fields in braces.
//
//go:embed settings.txt
var settingsText string

// wire returns a name of the platform.
func wire(name string) string {
	for line := range strings.Lines(wireText) {
		if known, value, _ := strings.Cut(strings.TrimSpace(line), " "); known == name {
			return value
		}
	}
	panic("wire.txt does not name " + name)
}
