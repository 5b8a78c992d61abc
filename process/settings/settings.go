package settings

import (
	"fmt"
	"net"
	"regexp"
	"strings"
	"time"
)

// Settings are what a node is told at its start.
type Settings struct {
	// Entry, Gate, Control and Admin are the addresses that the node listens
	// on, each an IP number and a port.
	Entry   string
	Gate    string
	Control string
	Admin   string
	// Region and DataCentre say where the VM stands.
	Region     string
	DataCentre string
	// Log is the address of the platform's log service and Stream the name of
	// the stream.
	Log    string
	Stream string
	// Peers are control addresses of nodes to start from.
	Peers []string
	// ClockBound is how far any two clocks of callers and nodes may be apart.
	ClockBound time.Duration
	// DrainTimeout bounds how long a leaving node waits for requests in
	// progress.
	DrainTimeout time.Duration
	// RemoteBytesPerSecond is the node's budget on paid links.
	RemoteBytesPerSecond int
}

// Fault is one wrong setting.
type Fault struct {
	// Flag is the name of the setting on the command line.
	Flag   string
	Remedy string
}

// FaultsError lists all wrong settings.
type FaultsError struct {
	Faults []Fault
}

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = fmt.Sprintf("--%s: %s", f.Flag, f.Remedy)
	}
	return strings.Join(lines, "\n")
}

// Bounds of the settings.
const (
	minClockBound   = 10 * time.Millisecond
	maxClockBound   = 30 * time.Second
	maxDrainTimeout = time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9_-]*[a-z0-9])?$`)

// Check returns a *FaultsError that lists every fault, or nil.
func (s Settings) Check() error {
	var faults []Fault
	add := func(flag, remedy string) { faults = append(faults, Fault{Flag: flag, Remedy: remedy}) }
	listens := []struct{ flag, value string }{
		{"entry", s.Entry}, {"gate", s.Gate}, {"control", s.Control}, {"admin", s.Admin}, {"log", s.Log},
	}
	seen := map[string]string{}
	for _, l := range listens {
		if err := checkAddress(l.value); err != nil {
			add(l.flag, err.Error())
			continue
		}
		if other, taken := seen[l.value]; taken {
			add(l.flag, fmt.Sprintf("%s is the address of --%s already; give each its own port", l.value, other))
		}
		seen[l.value] = l.flag
	}
	for _, p := range s.Peers {
		if err := checkAddress(p); err != nil {
			add("peer", err.Error())
		}
	}
	names := []struct{ flag, value string }{
		{"region", s.Region}, {"data-centre", s.DataCentre}, {"stream", s.Stream},
	}
	for _, n := range names {
		if !namePattern.MatchString(n.value) {
			add(n.flag, fmt.Sprintf("%q is no name; use small letters, digits, '_' or '-'", n.value))
		}
	}
	if s.ClockBound < minClockBound || s.ClockBound > maxClockBound {
		add("clock-bound", fmt.Sprintf("give a duration from %s to %s", minClockBound, maxClockBound))
	}
	if s.DrainTimeout <= 0 || s.DrainTimeout > maxDrainTimeout {
		add("drain-timeout", fmt.Sprintf("give a duration above 0 and up to %s", maxDrainTimeout))
	}
	if s.RemoteBytesPerSecond < 0 {
		add("remote-bytes", "give a number of bytes a second, 0 or more")
	}
	if len(faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: faults}
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
