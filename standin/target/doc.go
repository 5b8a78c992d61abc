// Package target is a stand-in for the servers that the fleet protects. It
// announces itself to the node beside it, works on a bounded number of
// requests at once, counts how often each claim ran, and can be told to be
// sick in the ways that health checks do not show.
package target
