// Package node puts the parts of a node together and carries it through its
// life: starting, serving, leaving.
package node
