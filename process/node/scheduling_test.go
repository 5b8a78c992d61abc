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

// The gate must use the scheduling of the active configuration: with the shared one, a
// target that sheds everything is found and kept from requests, and found again when it
// has recovered. No request may fail or run twice meanwhile.
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
	shedding := f.vms[0]
	r := f.loadFor(4*time.Second, f.vms, func() {
		shedding.target.SetFaults(target.Faults{ShedShare: 1})
		time.Sleep(1500 * time.Millisecond)
		is.True(shedding.hasMetric(t, "cuminwheel_target_shedding 1"))
		is.True(shedding.hasMetric(t, "cuminwheel_target_concurrency_limit 1"))
		shedding.target.SetFaults(target.Faults{})
		for until := time.Now().Add(2 * time.Second); !shedding.hasMetric(t, "cuminwheel_target_shedding 0") && time.Now().Before(until); {
			time.Sleep(50 * time.Millisecond)
		}
		is.True(shedding.hasMetric(t, "cuminwheel_target_shedding 0"))
	})
	is.True(r.IsCorrect())
}
