// Package settings holds what a node is told at its start, from whatever source.
package settings

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// Settings are what a node is told at its start.
type Settings struct {
	// Name is the node's name in its logs.
	Name string
	// Entry, Gate, Control, Ready and Admin are the addresses that the node
	// listens on, each an IP number and a port: for callers, for entries, for
	// calls of other nodes, for questions whether it takes callers, and for the
	// target beside it.
	Entry   string
	Gate    string
	Control string
	Ready   string
	Admin   string
	// Metrics is an address for metrics and status.
	Metrics string
	// AdvertisedGate and AdvertisedControl are where other nodes reach Gate and
	// Control, if not at these addresses themselves.
	AdvertisedGate    string
	AdvertisedControl string
	// Region and DataCentre say where the VM stands.
	Region     string
	DataCentre string
	// Service and Target are the service and address of the target beside the
	// node.
	Service string
	Target  string
	// Store is the address of the platform's store.
	Store string
	// GracePeriod is how long after SIGTERM the process may run.
	GracePeriod time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the fleet's repeated sends to
	// a service: in each window a share of its requests, and a number besides.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Bootstrap means that the whole fleet starts for the first time, so that
	// no other node is there before this one.
	Bootstrap bool
	// MemoryBytes is the process's limit; 0 sets none.
	MemoryBytes int64
}

// Defaults of settings that may be left out.
const (
	DefaultGracePeriod = 30 * time.Second
	DefaultRetryRatio  = 0.2
	DefaultRetrySlack  = 60
	DefaultRetryWindow = 10 * time.Second
)

// Violation is one wrong setting.
type Violation struct {
	Setting string
	Remedy  string
}

// ValidationError lists all wrong settings.
type ValidationError struct {
	Violations []Violation
}

func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, f := range e.Violations {
		lines[i] = f.Setting + ": " + f.Remedy
	}
	return strings.Join(lines, "\n")
}

// Validate returns a *ValidationError that lists every fault, or nil.
func (s Settings) Validate() error {
	var faults []Violation
	add := func(setting, remedy string) { faults = append(faults, Violation{Setting: setting, Remedy: remedy}) }
	addresses := []struct {
		setting, value string
		listens        bool
	}{
		{"entry", s.Entry, true}, {"gate", s.Gate, true}, {"control", s.Control, true}, {"ready", s.Ready, true},
		{"admin", s.Admin, true}, {"metrics", s.Metrics, true}, {"target", s.Target, false}, {"store", s.Store, false},
	}
	taken := map[string]string{}
	for _, a := range addresses {
		if err := checkAddress(a.value); err != nil {
			add(a.setting, err.Error())
			continue
		}
		if other := taken[a.value]; other != "" && a.listens {
			add(a.setting, fmt.Sprintf("%s is the address of %s already; give each its own port", a.value, other))
		}
		if a.listens {
			taken[a.value] = a.setting
		}
	}
	for _, a := range []struct{ setting, value string }{{"reached-gate", s.AdvertisedGate}, {"reached-control", s.AdvertisedControl}} {
		if a.value == "" {
			continue
		}
		if err := checkAddress(a.value); err != nil {
			add(a.setting, err.Error())
		}
	}
	names := []struct{ setting, value string }{
		{"region", s.Region}, {"data-centre", s.DataCentre}, {"service", s.Service},
	}
	for _, n := range names {
		if n.value == "" {
			add(n.setting, "give its name")
		}
	}
	if s.GracePeriod <= 0 {
		add("grace", "give a duration above 0")
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		add("retry-ratio", "give a number from 0 to 1")
	}
	if s.RetrySlack < 0 {
		add("retry-slack", "give a number from 0")
	}
	if s.RetryWindow <= 0 {
		add("retry-window", "give a duration above 0")
	}
	if len(faults) == 0 {
		return nil
	}
	return &ValidationError{Violations: faults}
}

func checkAddress(a string) error {
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		return fmt.Errorf("%q is no address; give an IP number and a port, as in 127.0.0.1:7000", a)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is no IP number; names are not looked up", host)
	}
	if port == "0" || port == "" {
		return fmt.Errorf("give a port from 1 to 65535")
	}
	return nil
}
