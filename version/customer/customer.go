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

// Directory finds customers by key and by name. It is immutable; its zero value has no
// customers.
type Directory struct {
	customers []Customer
	byKey     map[digest]uint32
	byName    map[string]uint32
}

// NewDirectory returns the directory of the given customers. The error is a *Error for the
// first invalid definition.
func NewDirectory(definitions []Definition) (Directory, error) {
	b := NewBuilder()
	for i, definition := range definitions {
		if violations := b.Add(definition); len(violations) > 0 {
			return Directory{}, &Error{Index: i, Violation: violations[0]}
		}
	}
	return b.Directory(), nil
}

// Lookup returns the customer with the key.
func (d Directory) Lookup(key string) (Customer, bool) {
	if len(d.byKey) == 0 || key == "" {
		return Customer{}, false
	}
	i, ok := d.byKey[digestOf(key)]
	if !ok {
		return Customer{}, false
	}
	return d.customers[i], true
}

// Named returns the customer with the name.
func (d Directory) Named(name string) (Customer, bool) {
	i, ok := d.byName[name]
	if !ok {
		return Customer{}, false
	}
	return d.customers[i], true
}

// Len returns the number of customers.
func (d Directory) Len() int { return len(d.customers) }
