package target

import (
	"fmt"
	"net/http"
	"strings"
)

// Lines that the audit of customers and keys adds to the record of executions.
const (
	// WrongCustomerID is recorded for each request whose customer header is not the one
	// that its ID names.
	WrongCustomerID = "wrong_customer"
	// KeyForwardedID is recorded for each request that arrives with a caller's key.
	KeyForwardedID = "key_forwarded"
	// RunPrefix begins the line of a run of a request with a customer, before its time in
	// Unix ms, a colon and the ID of the request.
	RunPrefix = "run:"
)

// customerSeparator separates the ID of a request from the name of its customer.
const customerSeparator = "."

// RequestID returns the ID of a request for which targets expect the customer. They expect
// none if the name is empty. The name must not contain white space, since IDs are recorded
// as words.
func RequestID(id, customer string) string {
	if customer == "" {
		return id
	}
	return id + customerSeparator + customer
}

// Customer returns the customer that the ID of a request names.
func Customer(id string) string {
	_, name, _ := strings.Cut(id, customerSeparator)
	return name
}

// auditIdentity records a request with another customer than its ID names, or with a key.
// Requests without an ID are not audited for their customer.
func (s *Server) auditIdentity(r *http.Request) {
	id := r.Header.Get(headerRequestID)
	expected, got := Customer(id), r.Header.Values(headerCustomer)
	isWrong := len(got) > 1 || strings.Join(got, "") != expected
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != "" && isWrong {
		fmt.Fprintln(s.executions, WrongCustomerID)
	}
	if len(r.Header.Values(headerKey)) > 0 {
		fmt.Fprintln(s.executions, KeyForwardedID)
	}
}
