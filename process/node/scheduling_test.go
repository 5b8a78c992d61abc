package node_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/platform"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// decode decodes a configuration and applies the fleet's scheduling.
func (f *fleet) decode(b []byte) (configuration.Configuration, error) {
	c, err := platform.DecodeConfiguration(b)
	if f.scheduling != "" {
		modes := c.Modes()
		modes.Scheduling = f.scheduling
		c = c.WithModes(modes)
	}
	return c, err
}

// hasMetric reports whether a node's metrics have the given line.
func (v *vm) hasMetric(t *testing.T, line string) bool {
	t.Helper()
	res, err := http.Get("http://" + v.settings.Metrics + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Contains(string(b), line+"\n")
}

// The gate must use the scheduling of the active configuration: with the shared one,
// targets that shed everything are found and kept from requests, and found again when they
// have recovered. No request may be reported falsely or run twice meanwhile. All targets
// shed, since entries prefer others for a second after each refusal.
func TestGateUsesSchedulingOfConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0)
	f.scheduling = configuration.SchedulingShared
	for range 3 {
		f.addVM()
	}
	f.publish(1)
	for _, v := range f.vms {
		f.awaitStatus(v, `"nodes":3,"gate_open":true`)
	}
	awaitMetric := func(line string) {
		until := time.Now().Add(2 * time.Second)
		for _, v := range f.vms {
			for !v.hasMetric(t, line) && time.Now().Before(until) {
				time.Sleep(50 * time.Millisecond)
			}
			is.True(v.hasMetric(t, line))
		}
	}
	setFaults := func(faults target.Faults) {
		for _, v := range f.vms {
			v.target.SetFaults(faults)
		}
	}
	r := f.loadFor(6*time.Second, f.vms, func() {
		setFaults(target.Faults{ShedShare: 1})
		awaitMetric("cuminwheel_target_shedding 1")
		setFaults(target.Faults{})
		awaitMetric("cuminwheel_target_shedding 0")
	})
	is.True(r.IsCorrect())
}
