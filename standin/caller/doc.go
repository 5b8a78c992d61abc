// Package caller stands in for callers: it sends load to entries, checks each
// answer, and audits from the targets' records what ran against what it was told.
package caller
