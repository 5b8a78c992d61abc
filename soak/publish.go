package soak

import (
	"context"
	"time"

	"github.com/cuminwheel/cuminwheel/platform"
	"github.com/cuminwheel/cuminwheel/version/configuration"
)

// publish writes the next version of the configuration. It connects to the store
// directly, so that link faults do not affect it, and retries while the store
// itself fails.
func (f *fleet) publish(ctx context.Context) error {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	f.mu.Lock()
	f.version++
	version := f.version
	f.history.publications = append(f.history.publications, publication{begunAt: time.Now(), customers: f.customers})
	f.mu.Unlock()
	weightedServices := func(service string) []configuration.DraftWeightedService {
		return []configuration.DraftWeightedService{{Service: service, Weight: 1}}
	}
	draft := configuration.Draft{
		Version:  version,
		Services: []configuration.DraftService{{Name: "tablero"}, {Name: "reparto"}},
		Routes: []configuration.DraftRoute{
			{Name: "board", Host: "roster.example", Prefix: "/board/", TimeoutMillis: 1500, TargetLatencyMillis: 800, Priority: 2, MaxAttempts: 2, WeightedServices: weightedServices("tablero")},
			{Name: "claim", Host: "roster.example", Prefix: "/claims/", NonIdempotent: true, TimeoutMillis: 1500, TargetLatencyMillis: 800, MaxAttempts: 2, WeightedServices: weightedServices("reparto")},
			{Name: "check", Host: "roster.example", Prefix: "/check/", TimeoutMillis: 1000, TargetLatencyMillis: 300, Priority: 1, MaxAttempts: 2, WeightedServices: weightedServices("reparto")},
		},
		Customers: f.customers,
	}
	if hasNarrowLink(f.options.Seed) {
		for i := range narrowRoutes {
			draft.Routes = append(draft.Routes, narrowRoute(i, version))
		}
	}
	encoded, err := platform.EncodeConfiguration(draft)
	if err != nil {
		return err
	}
	client, closeClient := platform.NewStore(f.storeAddress())
	defer closeClient()
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(pollInterval) {
		err := client.Put(ctx, platform.ConfigurationTopic, platform.ConfigurationKey, encoded)
		if err == nil {
			f.mu.Lock()
			f.history.publications[version-1].storedAt = time.Now()
			f.mu.Unlock()
		}
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
	}
}

// publishCustomers changes the customers and publishes them.
func (f *fleet) publishCustomers(ctx context.Context, change func([]configuration.DraftCustomer) []configuration.DraftCustomer) error {
	f.publishMu.Lock()
	f.customers = change(f.customers)
	f.publishMu.Unlock()
	return f.publish(ctx)
}
