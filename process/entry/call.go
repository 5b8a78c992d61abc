package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/relay"
	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
)

// nodeHeaderPrefix begins the names of all headers between nodes.
const nodeHeaderPrefix = "Cuminwheel-"

// call is one request of a caller on its way.
type call struct {
	id       string
	method   string
	uri      string
	header   http.Header
	body     []byte
	customer string
	service  configuration.Service
	route    configuration.Route
	deadline time.Time
}

// isIdempotent reports whether the request may run more than once.
func (c *call) isIdempotent() bool {
	if c.route.NeverRepeat {
		return false
	}
	switch c.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// toGate returns the request as the gate gets it.
func (c *call) toGate(attempt int) relay.Request {
	h := c.forNode()
	h.Set(outcome.HeaderAttempt, strconv.Itoa(attempt))
	if c.isIdempotent() {
		gate.MarkIdempotent(h)
	}
	return relay.Request{Method: c.method, URI: c.uri, Header: h, Body: c.body, ID: c.id}
}

// toHome returns the claim as the holder of its seat gets it.
func (c *call) toHome(seat int) relay.Request {
	h := c.forNode()
	h.Set(outcome.HeaderSeat, strconv.Itoa(seat))
	return relay.Request{Method: c.method, URI: c.uri, Header: h, Body: c.body, ID: c.id}
}

// forNode drops what the caller sent under the names that nodes use.
func (c *call) forNode() http.Header {
	h := http.Header{}
	relay.CopyHeader(h, c.header)
	for name := range h {
		if strings.HasPrefix(name, nodeHeaderPrefix) {
			delete(h, name)
		}
	}
	h.Set(outcome.HeaderRequestID, c.id)
	h.Set(outcome.HeaderService, c.service.Name)
	h.Set(outcome.HeaderCustomer, c.customer)
	h.Set(outcome.HeaderDeadline, strconv.FormatInt(c.deadline.UnixMilli(), 10))
	return h
}
