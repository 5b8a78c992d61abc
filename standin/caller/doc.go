// Package caller is a stand-in for the fleet's callers. It sends requests at a
// fixed rate whatever becomes of earlier ones, checks that each answer is
// whole and its own, and holds what it was told of each claim against how often
// the targets ran it.
package caller
