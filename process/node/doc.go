// Package node puts the parts of one process together: the entry for callers,
// the gate for targets, the roster, the follower of the log and the keeper of
// claim seats. It owns their life span: Start builds them in order and the
// function that it returns shuts them down without cutting a request.
package node
