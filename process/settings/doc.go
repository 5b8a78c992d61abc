// Package settings holds what a node is told at its start and checks all of
// it at once.
package settings
