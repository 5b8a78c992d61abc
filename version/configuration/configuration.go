package configuration

import (
	"iter"
	"strings"

	"github.com/cuminwheel/cuminwheel/version/table"
)

// Configuration is the immutable result of all accepted changes.
type Configuration struct {
	services  table.Table[Entry[Service]]
	customers table.Table[Entry[Customer]]
	routes    table.Table[Match]
}

// Entry is a value with the version that last touched it. A removed entry
// stays as a tombstone so that a late change based on it is still found out.
type Entry[V any] struct {
	Value   V      `json:"value"`
	Version int64  `json:"version"`
	Removed bool   `json:"removed,omitempty"`
	Author  string `json:"author,omitempty"`
}

// Match is the service and route that serve a path.
type Match struct {
	Service string
	Route   Route
}

// Touch names an entry that a change touches, and what stands there now.
type Touch struct {
	// Path names the entry, as in services/reparto.
	Path    string
	Version int64
	Author  string
}

// Service returns the named service.
func (c Configuration) Service(name string) (Service, bool) {
	e, ok := c.services.Get(name)
	return e.Value, ok && !e.Removed
}

// Customer returns the limits of the named customer.
func (c Configuration) Customer(name string) (Customer, bool) {
	e, ok := c.customers.Get(name)
	return e.Value, ok && !e.Removed
}

// Services returns the services in the order of their names.
func (c Configuration) Services() []Service {
	var list []Service
	for _, e := range c.services.All() {
		if !e.Removed {
			list = append(list, e.Value)
		}
	}
	return list
}

// RouteFor returns the route with the longest prefix, in whole segments, of
// path.
func (c Configuration) RouteFor(path string) (Match, bool) {
	for path != "" {
		if m, ok := c.routes.Get(path); ok {
			return m, true
		}
		i := strings.LastIndexByte(path, '/')
		if i <= 0 {
			break
		}
		path = path[:i]
	}
	return c.routes.Get("/")
}

// NewestTouch returns the touched entry with the highest version.
func (c Configuration) NewestTouch(ch Change) Touch {
	newest := Touch{}
	visit := func(path string, version int64, author string) {
		if version > newest.Version {
			newest = Touch{Path: path, Version: version, Author: author}
		}
	}
	service := func(name string) {
		e, _ := c.services.Get(name)
		visit("services/"+name, e.Version, e.Author)
	}
	customer := func(name string) {
		e, _ := c.customers.Get(name)
		visit("customers/"+name, e.Version, e.Author)
	}
	for _, s := range ch.Services {
		service(s.Name)
	}
	for _, n := range ch.RemoveServices {
		service(n)
	}
	for _, u := range ch.Customers {
		customer(u.Name)
	}
	for _, n := range ch.RemoveCustomers {
		customer(n)
	}
	return newest
}

// ForeignRoute returns a path prefix of ch that another service, which ch
// leaves alone, already has, and that service's name.
func (c Configuration) ForeignRoute(ch Change) (prefix, owner string) {
	touched := map[string]bool{}
	for _, s := range ch.Services {
		touched[s.Name] = true
	}
	for _, n := range ch.RemoveServices {
		touched[n] = true
	}
	for _, s := range ch.Services {
		for _, r := range s.Routes {
			m, ok := c.routes.Get(r.PathPrefix)
			if ok && !touched[m.Service] {
				return r.PathPrefix, m.Service
			}
		}
	}
	return "", ""
}

// With returns the configuration after ch, accepted at version.
func (c Configuration) With(ch Change, version int64, author string) Configuration {
	for _, n := range ch.RemoveServices {
		c = c.withoutRoutes(n)
		c.services = c.services.With(n, c.tombstone(n, version, author))
	}
	for _, s := range ch.Services {
		c = c.withoutRoutes(s.Name)
	}
	for _, s := range ch.Services {
		c.services = c.services.With(s.Name, Entry[Service]{Value: s.WithDefaults(), Version: version, Author: author})
		c = c.withRoutes(s)
	}
	for _, n := range ch.RemoveCustomers {
		gone := Entry[Customer]{Value: Customer{Name: n}, Version: version, Removed: true, Author: author}
		c.customers = c.customers.With(n, gone)
	}
	for _, u := range ch.Customers {
		c.customers = c.customers.With(u.Name, Entry[Customer]{Value: u, Version: version, Author: author})
	}
	return c
}

// Entries is a Configuration in a form that can be sent and stored.
type Entries struct {
	Services  []Entry[Service]  `json:"services"`
	Customers []Entry[Customer] `json:"customers"`
}

// Entries returns all entries, removed ones included.
func (c Configuration) Entries() Entries {
	var e Entries
	for _, s := range c.services.All() {
		e.Services = append(e.Services, s)
	}
	for _, u := range c.customers.All() {
		e.Customers = append(e.Customers, u)
	}
	return e
}

// FromEntries returns the configuration that e was taken from.
func FromEntries(e Entries) Configuration {
	return Configuration{
		services: table.Of(func(yield func(string, Entry[Service]) bool) {
			for _, s := range e.Services {
				if !yield(s.Value.Name, s) {
					return
				}
			}
		}),
		customers: table.Of(func(yield func(string, Entry[Customer]) bool) {
			for _, u := range e.Customers {
				if !yield(u.Value.Name, u) {
					return
				}
			}
		}),
		routes: table.Of(e.routes()),
	}
}

// routes yields the routes of all services that have not been removed.
func (e Entries) routes() iter.Seq2[string, Match] {
	return func(yield func(string, Match) bool) {
		for _, s := range e.Services {
			for _, r := range s.Value.Routes {
				if !s.Removed && !yield(r.PathPrefix, Match{Service: s.Value.Name, Route: r}) {
					return
				}
			}
		}
	}
}

// ReseatedService returns a service of ch whose number of claim seats differs
// from the number it had before. Keys are spread over seats by that number, so
// that a change of it would give a key a second home.
func (c Configuration) ReseatedService(ch Change) (name string, seats int) {
	for _, s := range ch.Services {
		e, ok := c.services.Get(s.Name)
		if ok && e.Value.ClaimSeats != 0 && e.Value.ClaimSeats != s.WithDefaults().ClaimSeats {
			return s.Name, e.Value.ClaimSeats
		}
	}
	return "", 0
}

// tombstone keeps the number of claim seats, which outlives the service.
func (c Configuration) tombstone(name string, version int64, author string) Entry[Service] {
	e, _ := c.services.Get(name)
	kept := Service{Name: name, ClaimSeats: e.Value.ClaimSeats}
	return Entry[Service]{Value: kept, Version: version, Removed: true, Author: author}
}

func (c Configuration) withRoutes(s Service) Configuration {
	for _, r := range s.Routes {
		c.routes = c.routes.With(r.PathPrefix, Match{Service: s.Name, Route: r})
	}
	return c
}

func (c Configuration) withoutRoutes(service string) Configuration {
	e, ok := c.services.Get(service)
	if !ok || e.Removed {
		return c
	}
	for _, r := range e.Value.Routes {
		c.routes = c.routes.Without(r.PathPrefix)
	}
	return c
}
