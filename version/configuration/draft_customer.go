package configuration

import (
	"fmt"

	"github.com/cuminwheel/cuminwheel/version/customer"
)

// DraftCustomer is a customer in a draft.
type DraftCustomer struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority ranks the requests of customers; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// RequestsPerSecond is the quota over all nodes; 0 means that there is none.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	Burst             float64 `json:"burst,omitempty"`
}

// definition returns the customer with its keys.
func (c DraftCustomer) definition() customer.Definition {
	return customer.Definition{
		Customer: customer.Customer{Name: c.Name, Priority: c.Priority, RequestsPerSecond: c.RequestsPerSecond, Burst: c.Burst},
		Keys:     c.Keys,
	}
}

// validateCustomers calls add for each violation in the customers.
func validateCustomers(customers []DraftCustomer, add func(field, remedy string, args ...any)) {
	b := customer.NewBuilder()
	for i, c := range customers {
		for _, v := range b.Add(c.definition()) {
			add(fmt.Sprintf("customers[%d].%s", i, v.Field), "%s", v.Remedy)
		}
	}
}

// customerDirectory returns the directory of the customers of a valid draft.
func (d Draft) customerDirectory() customer.Directory {
	b := customer.NewBuilder()
	for _, c := range d.Customers {
		b.Add(c.definition())
	}
	return b.Directory()
}
