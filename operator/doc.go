// Package operator is the Go library in which operators write the configuration of
// the fleet. Their programs build a Publication of services and routes and print
// it; `cuminwheel publish` reads the output.
//
// Publication and Route are immutable values: each With method returns a modified
// copy. Methods are named after the JSON fields that they set. Publication.Print
// checks the configuration by the rules that `cuminwheel check` applies.
package operator
