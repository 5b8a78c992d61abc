// Package capacity works out what a node costs at the size that the fleet is
// designed for.
//
// It measures each part at four or more sizes on this machine, fits a line to
// the figures, and puts the slopes together with the numbers of the expected
// fleet. Command regenerate writes the result into docs/CAPACITY.md.
package capacity
