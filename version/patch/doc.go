// Package patch encodes the difference between two encoded configurations, so that a
// change costs as many bytes as it changes.
//
// A Patch is made from the two forms with Make and turns the one into the other with
// Apply. It names both by digests: applied to anything else, or damaged on its way, it
// fails. A History keeps the patches of the last changes; From returns those that lead from
// an older form to the newest.
package patch
