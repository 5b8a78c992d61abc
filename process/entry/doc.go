// Package entry takes requests from callers on its VM and brings each to a gate
// that grants it a slot.
//
// The decisions stand apart from input and output: selection.go says which gate is
// asked next and how long the request may wait there, candidate.go what is
// believed of a gate and until when. dispatch.go carries them out.
package entry
