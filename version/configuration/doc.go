// Package configuration holds what operators have published: services, the
// routes to them and the limits of callers.
//
// A Configuration is immutable and has a version. Of two configurations the one
// with the higher version is in force, whatever way or order they come in. Draft
// is its form in the product's own files.
package configuration
