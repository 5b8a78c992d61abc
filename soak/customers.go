package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/caller"
	"github.com/cuminwheel/cuminwheel/version/configuration"
)

// Names of the customers. A hot customer is asked for more than its quota.
const (
	customerUnlimited = "lonja"
	customerModerate  = "huerta"
	customerHot       = "feria"
)

// crashKey is the key of the requests that crash targets. No schedule removes it.
const crashKey = customerUnlimited + "-0"

// loweredQuota is the rate, in requests per second, and the burst of the hot customer after
// its quota has been lowered from 6.
const loweredQuota = 3

// keysPerCustomer is how many keys callers send for each customer. The last of them is in
// no configuration until the schedule adds it.
const keysPerCustomer = 3

// hasCustomers reports whether the configurations of a seed have customers: those of one
// seed in four.
func hasCustomers(seed uint64) bool {
	return rand.New(rand.NewPCG(seed, 87)).IntN(4) == 0
}

func keyOf(customer string, i int) string { return customer + "-" + string(rune('0'+i)) }

// initialCustomers returns the customers of the first configuration.
func initialCustomers() []configuration.DraftCustomer {
	customers := []configuration.DraftCustomer{
		{Name: customerUnlimited},
		{Name: customerModerate, RequestsPerSecond: 60, Burst: 60, Priority: 1},
		{Name: customerHot, RequestsPerSecond: 6, Burst: 6, Priority: 1},
	}
	for i, c := range customers {
		customers[i].Keys = []string{keyOf(c.Name, 0), keyOf(c.Name, 1)}
	}
	return customers
}

// soakCredentials returns all keys that a schedule may use. Those of the hot customer get
// half of the load.
func soakCredentials(customers []configuration.DraftCustomer) (credentials []caller.Credential) {
	for _, c := range customers {
		for i := range keysPerCustomer {
			credential := caller.Credential{Key: keyOf(c.Name, i), Customer: c.Name}
			credentials = append(credentials, credential)
			if c.Name == customerHot {
				credentials = append(credentials, credential)
			}
		}
	}
	return credentials
}

// recoveryCredentials returns the keys whose requests must be answered: those in force of
// the customers that stay below their quota.
func recoveryCredentials(customers []configuration.DraftCustomer) (credentials []caller.Credential) {
	for _, c := range customers {
		for _, key := range c.Keys {
			if c.Name != customerHot {
				credentials = append(credentials, caller.Credential{Key: key, Customer: c.Name})
			}
		}
	}
	return credentials
}

// insertCustomerChanges adds removals and additions of keys, and a lower quota of the hot
// customer, to the schedules with customers. It draws from random numbers of its own, as insertReversion does. The changes
// fall into the first half, so that the old keys are used for some seconds afterwards.
func insertCustomerChanges(events []event, seed uint64, duration time.Duration) []event {
	if !hasCustomers(seed) {
		return events
	}
	rng := rand.New(rand.NewPCG(seed, 88))
	for _, kind := range []string{faultRemoveKey, faultRemoveKey, faultAddKey, faultAddKey} {
		names := []string{customerUnlimited, customerModerate, customerHot}
		e := event{at: time.Duration(rng.Int64N(int64(duration / 2))), kind: kind, customer: names[rng.IntN(len(names))]}
		if rng.IntN(4) > 0 {
			events = insertInOrder(events, e)
		}
	}
	if rng.IntN(2) == 0 {
		at := time.Duration(rng.Int64N(int64(duration / 2)))
		events = insertInOrder(events, event{at: at, kind: faultQuota, customer: customerHot})
	}
	return events
}

// changeCustomers returns the customers with the change of the event. Published customers
// are never modified, since the history holds them.
func (e event) changeCustomers(customers []configuration.DraftCustomer) []configuration.DraftCustomer {
	changed := slices.Clone(customers)
	for i := range changed {
		c := &changed[i]
		if c.Name != e.customer {
			continue
		}
		removed, added := keyOf(c.Name, 1), keyOf(c.Name, keysPerCustomer-1)
		switch e.kind {
		case faultRemoveKey:
			c.Keys = slices.DeleteFunc(slices.Clone(c.Keys), func(key string) bool { return key == removed })
		case faultQuota:
			c.RequestsPerSecond, c.Burst = loweredQuota, loweredQuota
		case faultAddKey:
			if !slices.Contains(c.Keys, added) {
				c.Keys = append(slices.Clone(c.Keys), added)
			}
		}
	}
	return changed
}
