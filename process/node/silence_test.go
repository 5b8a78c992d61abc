package node_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/link"
	"github.com/matryer/is"
)

// Bounds that the platform states: how long after its confirmation a version may be out of
// force, and how long after the end of a disturbance nodes need not keep bounds.
const (
	configurationDelay = 2500 * time.Millisecond
	stabilityWindow    = 4 * time.Second
)

func newLink(t *testing.T, listen, target string) *link.Link {
	t.Helper()
	l, closeLink, err := link.New(listen, target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeLink)
	return l
}

// Guards against confirmed versions that stay out of force because the connections of all
// nodes, on which they wait for changes, have fallen silent without an error.
func TestSilentConnectionsDelayNoVersion(t *testing.T) {
	tests := []struct {
		name string
		// betweenNodes means that the connections between nodes fall silent as well.
		betweenNodes bool
		publishAfter time.Duration
	}{
		{"published at once", false, 200 * time.Millisecond},
		{"published after the stability window", false, stabilityWindow + time.Second},
		{"published at once, nodes too", true, 200 * time.Millisecond},
		{"published after the stability window, nodes too", true, stabilityWindow + time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 0)
			path := newLink(t, "127.0.0.1:0", f.storeAddress)
			links := []*link.Link{path}
			f.publish(1)
			for range 3 {
				f.addVMWithTarget(func(v *vm) {
					v.storeAddress = path.Address()
					host, _, _ := net.SplitHostPort(v.settings.Control)
					control := newLink(t, host+":0", v.settings.Control)
					v.settings.AdvertisedControl = control.Address()
					v.settings.Target = "127.0.0.1:1"
					if test.betweenNodes {
						links = append(links, control)
					}
				})
			}
			for _, v := range f.vms {
				f.awaitStatus(v, `"configuration_version":1,"nodes":3`)
			}
			// From here on, reads of the store wait.
			time.Sleep(1500 * time.Millisecond)
			silentAt := time.Now()
			for _, l := range links {
				l.Silence()
			}
			time.Sleep(test.publishAfter)
			f.publish(2)
			due := time.Now().Add(configurationDelay)
			if inTouch := silentAt.Add(stabilityWindow); inTouch.After(due) {
				due = inTouch
			}
			time.Sleep(time.Until(due))
			for _, v := range f.vms {
				is.True(strings.Contains(f.status(v), `"configuration_version":2`))
			}
		})
	}
}
