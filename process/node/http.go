package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cuminwheel/cuminwheel/process/entry"
	"github.com/cuminwheel/cuminwheel/process/quota"
	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
)

// isReady reports whether the node accepts callers: it must know a configuration, must have
// discovered the fleet, and must not be leaving. Other nodes serve its callers better until
// then; if there are none, the platform sends them in spite of the response.
func (n *Node) isReady() bool {
	return !n.isLeaving.Load() && n.configuration.Configuration().Version > 0 && n.view.IsDiscovered()
}

// newReadyHandler returns the handler of the platform's readiness checks.
func (n *Node) newReadyHandler() http.Handler {
	e := echo.New()
	e.GET(n.platform.ReadyPath, func(c echo.Context) error {
		if !n.isReady() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

// newAdminHandler returns the handler of the admin address, which the target
// beside the node calls.
func (n *Node) newAdminHandler() http.Handler {
	e := echo.New()
	e.POST(n.platform.AnnouncementPath, echo.WrapHandler(n.platform.NewAnnouncementHandler(n.target, n.logger.Named("announcement"))))
	e.GET("/metrics", n.writeMetrics)
	return e
}

// status is the response body of /status.
type status struct {
	Node          string `json:"node"`
	StartedAt     int64  `json:"started_ms"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
	Configuration uint64 `json:"configuration_version"`
	Nodes         int    `json:"nodes"`
	GateOpen      bool   `json:"gate_open"`
	Suspected     bool   `json:"target_suspect"`
	Outstanding   int    `json:"target_busy"`
	Slots         int    `json:"target_slots"`
	Customers     int    `json:"customers"`
	// Quotas are the customers nearest to their quota, of those whose home the node is.
	Quotas []quota.Usage `json:"quotas,omitempty"`
}

// nearestQuotas is the number of customers that status and metrics show.
const nearestQuotas = 5

// newMetricsHandler returns the handler of the metrics address.
func (n *Node) newMetricsHandler() http.Handler {
	e := echo.New()
	e.GET("/metrics", n.writeMetrics)
	e.GET("/status", func(c echo.Context) error {
		s := n.gate.State()
		return c.JSON(http.StatusOK, status{
			Node: n.settings.Name, StartedAt: n.startedAt.UnixMilli(), Ready: n.isReady(), Leaving: n.isLeaving.Load(),
			Configuration: n.configuration.Configuration().Version, Nodes: len(n.view.Nodes()),
			GateOpen: s.Accepting, Suspected: s.Suspected, Outstanding: s.Outstanding, Slots: s.Slots,
			Customers: n.configuration.Configuration().Customers().Len(),
			Quotas:    n.quotas.Nearest(nearestQuotas),
		})
	})
	e.POST("/explain", n.explain)
	return e
}

// maxInquiryBytes bounds the body of /explain.
const maxInquiryBytes = 64 << 10

// explain tells what the entry would do with a request. Errors never contain parts of the
// body, since it may have a key.
func (n *Node) explain(c echo.Context) error {
	fail := func(reason string) error { return c.JSON(http.StatusBadRequest, map[string]string{"error": reason}) }
	var q entry.Inquiry
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxInquiryBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&q); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) && wrongType.Field != "" {
			return fail(fmt.Sprintf("%s: set a value of type %s", wrongType.Field, wrongType.Type))
		}
		return fail("body: send a JSON object with host, path, method and optionally key, deadline_ms and body_bytes")
	}
	if err := q.Validate(); err != nil {
		return fail(err.Error())
	}
	return c.JSON(http.StatusOK, n.entry.Explain(q))
}

// writeMetrics writes the metrics of the node and the process.
func (n *Node) writeMetrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
	n.meter.set.WritePrometheus(c.Response())
	for _, u := range n.quotas.Nearest(nearestQuotas) {
		metrics.WriteGaugeFloat64(c.Response(), fmt.Sprintf(`cuminwheel_quota_used{customer=%q}`, u.Customer), u.Used)
	}
	metrics.WriteProcessMetrics(c.Response())
	return nil
}

const (
	// httpTimeout limits the time to read a request to the node itself, and that
	// to write the response.
	httpTimeout        = 5 * time.Second
	httpIdleTimeout    = time.Minute
	maxHTTPHeaderBytes = 16 << 10
)

// serveHTTP serves HTTP on an address until the returned function is called.
func serveHTTP(address string, h http.Handler) (func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &http.Server{
		Handler: h, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: httpIdleTimeout,
		MaxHeaderBytes: maxHTTPHeaderBytes, BaseContext: func(net.Listener) context.Context { return context.Background() },
	}
	go s.Serve(l)
	return func() {
		s.Close()
		l.Close() // the server does not know it yet if it has just been started
	}, nil
}
