// Package customer holds the customers of one configuration version and finds them by the
// keys of their callers.
package customer

// Customer is an organisation whose callers are identified by keys.
type Customer struct {
	Name string
	// Priority ranks the requests of customers; 0 is the highest. It goes before the
	// priority of the route.
	Priority int
	// RequestsPerSecond and Burst are the quota of the customer over all nodes; a rate of
	// 0 means that there is none.
	RequestsPerSecond float64
	Burst             float64
}

// HasQuota reports whether the customer's requests are limited.
func (c Customer) HasQuota() bool { return c.RequestsPerSecond > 0 }

// Definition is a customer with its keys, as a configuration lists it.
type Definition struct {
	Customer
	Keys []string
}

// Directory finds customers by key. It is immutable; its zero value has no customers.
type Directory struct {
	byKey map[string]Customer
	count int
}

// NewDirectory returns the directory of the given customers.
func NewDirectory(definitions []Definition) (Directory, error) {
	d := Directory{byKey: map[string]Customer{}, count: len(definitions)}
	for _, definition := range definitions {
		for _, key := range definition.Keys {
			d.byKey[key] = definition.Customer
		}
	}
	return d, nil
}

// Lookup returns the customer with the key.
func (d Directory) Lookup(key string) (Customer, bool) {
	c, ok := d.byKey[key]
	return c, ok
}

// Len returns the number of customers.
func (d Directory) Len() int { return d.count }
