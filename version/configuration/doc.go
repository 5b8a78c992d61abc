// Package configuration defines the configuration of the fleet: services, the
// routes to them and limits for callers.
//
// A Draft is the form in which operators write a configuration, in a JSON file or
// with package operator. The cuminwheel command validates and publishes it. A Configuration
// is the immutable form that nodes use. It has a version: of two configurations
// the one with the higher version is active, whichever way and in whichever order
// they reach a node. Package platform translates both from and to the form in the
// platform's store.
package configuration
