// Package settings defines the settings with which a node starts.
//
// The command reads them from the platform's settings file, through package
// platform, or from flags and environment variables. Package node starts a node
// with them; they do not change while it runs.
package settings

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// Settings are the settings with which a node starts. The tags keep the names under
// which they appear in logs in JSON.
type Settings struct {
	// Name is the node's name in its logs.
	Name string
	// Entry, Gate, Control, Ready and Admin are the addresses that the node
	// listens on, each an IP address and a port: for requests of callers, for
	// requests of other nodes' entries, for control calls of other nodes, for
	// readiness checks, and for calls of the target beside the node.
	Entry   string
	Gate    string
	Control string
	Ready   string
	Admin   string
	// Metrics is the address for metrics and status.
	Metrics string
	// AdvertisedGate and AdvertisedControl are the addresses at which other nodes
	// reach Gate and Control. If empty, these are Gate and Control themselves.
	AdvertisedGate    string `json:"ReachedGate"`
	AdvertisedControl string `json:"ReachedControl"`
	// Region and DataCentre are the location of the VM.
	Region     string
	DataCentre string
	// Service and Target are the service and the address of the target beside the
	// node.
	Service string
	Target  string
	// Store is the address of the platform's store.
	Store string
	// GracePeriod is how long the process may run after SIGTERM.
	GracePeriod time.Duration `json:"Grace"`
	// AnnouncementInterval is the time between two announcements of the target.
	AnnouncementInterval time.Duration
	// RetryRatio, RetrySlack and RetryWindow limit the retries of the whole fleet
	// to a service: in each window, RetryRatio times the service's requests plus
	// RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Bootstrap means that the whole fleet starts for the first time, so that no
	// other node is running yet.
	Bootstrap bool `json:"FirstStart"`
	// MemoryBytes is the memory limit of the process; 0 means no limit.
	MemoryBytes int64
}

// Default values of optional settings.
const (
	DefaultGracePeriod          = 30 * time.Second
	DefaultAnnouncementInterval = 1500 * time.Millisecond
	DefaultRetryRatio           = 0.2
	DefaultRetrySlack           = 60
	DefaultRetryWindow          = 10 * time.Second
)

// Violation describes one invalid setting.
type Violation struct {
	Setting string
	// Remedy tells the operator how to correct the setting.
	Remedy string
}

// ValidationError lists all invalid settings.
type ValidationError struct {
	Violations []Violation
}

func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		lines[i] = v.Setting + ": " + v.Remedy
	}
	return strings.Join(lines, "\n")
}

// Validate returns a *ValidationError with every violation, or nil.
func (s Settings) Validate() error {
	var violations []Violation
	add := func(setting, remedy string) {
		violations = append(violations, Violation{Setting: setting, Remedy: remedy})
	}
	addresses := []struct {
		setting, value string
		listens        bool
	}{
		{"entry", s.Entry, true}, {"gate", s.Gate, true}, {"control", s.Control, true}, {"ready", s.Ready, true},
		{"admin", s.Admin, true}, {"metrics", s.Metrics, true}, {"target", s.Target, false}, {"store", s.Store, false},
	}
	listenAddresses := map[string]string{}
	for _, a := range addresses {
		if err := checkAddress(a.value); err != nil {
			add(a.setting, err.Error())
			continue
		}
		if other := listenAddresses[a.value]; other != "" && a.listens {
			add(a.setting, fmt.Sprintf("%s is already the address of %s; set a different port", a.value, other))
		}
		if a.listens {
			listenAddresses[a.value] = a.setting
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
			add(n.setting, "set a name")
		}
	}
	if s.GracePeriod <= 0 {
		add("grace", "set a duration above 0")
	}
	if s.AnnouncementInterval <= 0 {
		add("announcement-interval", "set a duration above 0")
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		add("retry-ratio", "set a number from 0 to 1")
	}
	if s.RetrySlack < 0 {
		add("retry-slack", "set a number of at least 0")
	}
	if s.RetryWindow <= 0 {
		add("retry-window", "set a duration above 0")
	}
	if len(violations) == 0 {
		return nil
	}
	return &ValidationError{Violations: violations}
}

// checkAddress returns an error that tells how to correct the address, or nil.
func checkAddress(a string) error {
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		return fmt.Errorf("%q is not an address; set an IP address and a port, as in 127.0.0.1:7000", a)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address; host names are not resolved", host)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("set a port from 1 to 65535")
	}
	return nil
}
