package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/platform"
	"github.com/cuminwheel/cuminwheel/standin/caller"
	"github.com/cuminwheel/cuminwheel/standin/store"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// Guards against nodes that grant a customer's whole quota each (QUOTA) because they take
// themselves for the whole fleet: they have joined while the records of nodes cannot be read,
// and know no other node.
func TestNodesThatKnowNoOtherGrantNoSecondQuota(t *testing.T) {
	tests := []struct {
		name   string
		joined int
		faults store.Faults
	}{
		{"one node joins", 1, store.Faults{OutageTopics: []string{platform.NodesTopic}}},
		{"two nodes join", 2, store.Faults{OutageTopics: []string{platform.NodesTopic}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const rate, burst, seconds = 20, 20, 5
			const limit = (rate*seconds+burst)*1.1 + 20
			f := startFleet(t, 3)
			f.publishCustomers(2, configuration.DraftCustomer{Name: "hot", Keys: []string{"k"}, RequestsPerSecond: rate, Burst: burst})
			for _, v := range f.vms {
				f.awaitStatus(v, `"configuration_version":2`)
			}
			time.Sleep(3 * time.Second) // the buckets are full
			f.store.SetFaults(test.faults)
			for range test.joined {
				v := f.addVM()
				f.awaitStatus(v, `"configuration_version":2`)
			}
			time.Sleep(5500 * time.Millisecond) // the gates open also if their nodes know no other
			var entries []string
			for _, v := range f.vms {
				entries = append(entries, v.settings.Entry)
			}
			l, closeLoad := caller.New(caller.Workload{
				Entries: entries, Host: "h", Paths: []string{"/read/a"}, Credentials: []caller.Credential{{Key: "k", Customer: "hot"}},
				Rate: ratePerEntry * float64(len(entries)), Until: time.Now().Add(seconds * time.Second), Timeout: 1500 * time.Millisecond, MaxInFlight: 400, Seed: 1,
			})
			defer closeLoad()
			r := l.Run(t.Context())
			if float64(r.Answered) > limit {
				t.Errorf("%d requests ran in %d s, %.0f allowed", r.Answered, seconds, limit)
			}
			is.True(float64(r.Answered) >= rate*seconds) // the quota is granted once
		})
	}
}

// Guards against nodes that cannot serve customers with a quota, or know no gate but their
// own, for as long as the records of nodes cannot be read: they find the others through the
// contacts, and a customer below its quota is not refused.
func TestNodeFindsTheFleetThroughContacts(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 4)
	f.publishCustomers(2, configuration.DraftCustomer{Name: "calm", Keys: []string{"k"}, RequestsPerSecond: 60, Burst: 60})
	client, closeClient := platform.NewStore(f.storeAddress)
	defer closeClient()
	registry := platform.NewNodeRegistry(client)
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if contacts, err := registry.Contacts(t.Context()); err == nil && len(contacts) == 3 { // the readers of a region
			break
		}
	}
	contacts, err := registry.Contacts(t.Context())
	is.NoErr(err)
	is.Equal(len(contacts), 3)
	dead := contacts[0] // a contact that was killed has not removed its record
	dead.ControlAddress, dead.GateAddress = "127.0.0.1:1", "127.0.0.1:2"
	is.NoErr(registry.JoinContacts(t.Context(), dead))
	f.store.SetFaults(store.Faults{OutageTopics: []string{platform.NodesTopic}})
	v := f.addVM()
	f.awaitStatus(v, `"ready":true`)
	f.awaitStatus(v, `"nodes":5,"gate_open":true`)
	l, closeLoad := caller.New(caller.Workload{
		Entries: []string{v.settings.Entry}, Host: "h", Paths: []string{"/read/a"}, Credentials: []caller.Credential{{Key: "k", Customer: "calm"}},
		Rate: ratePerEntry, Until: time.Now().Add(3 * time.Second), Timeout: 1500 * time.Millisecond, MaxInFlight: 200, Seed: 1,
	})
	defer closeLoad()
	r := l.Run(t.Context())
	is.Equal(r.Answered, r.Sent)
	for _, other := range f.vms {
		f.awaitStatus(other, fmt.Sprintf(`"nodes":%d`, 5))
	}
}

// Guards against callers that are sent to a node which knows no gate but its own, while the
// other nodes would serve them: it is not ready, however long it has been running.
func TestNodeThatKnowsNoOtherIsNotReady(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2)
	f.store.SetFaults(store.Faults{OutageTopics: []string{platform.NodesTopic, platform.ContactsTopic}})
	v := f.addVM()
	f.awaitStatus(v, `"configuration_version":1`)
	for range 40 {
		is.True(strings.Contains(f.status(v), `"ready":false`))
		time.Sleep(100 * time.Millisecond)
	}
	f.store.SetFaults(store.Faults{})
	f.awaitStatus(v, `"ready":true`)
	is.True(strings.Contains(f.status(v), `"nodes":3`))
}
