package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
)

// meetPatience is how long a node that finds no other keeps callers away. It may
// be the only one.
const meetPatience = 3 * time.Second

// isReady reports whether the node takes callers: it must know a configuration
// and other nodes.
func (n *Node) isReady() bool {
	hasMet := n.met.Load() || len(n.roster.Nodes()) > 1 || time.Since(n.started) > meetPatience
	return !n.leaving.Load() && n.current.Configuration().Version > 0 && hasMet
}

func (n *Node) readiness() http.Handler {
	e := echo.New()
	e.GET(n.platform.ReadyPath, func(c echo.Context) error {
		if !n.isReady() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

func (n *Node) admin() http.Handler {
	e := echo.New()
	e.POST(n.platform.AnnouncementPath, echo.WrapHandler(n.platform.NewAnnouncementHandler(n.gate, n.logger.Named("announcement"))))
	e.GET("/metrics", n.writeMetrics)
	return e
}

// status is what /status shows.
type status struct {
	Node          string `json:"node"`
	Started       int64  `json:"started_ms"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
	Configuration uint64 `json:"configuration_version"`
	Nodes         int    `json:"nodes"`
	GateOpen      bool   `json:"gate_open"`
	Suspect       bool   `json:"target_suspect"`
	Busy          int    `json:"target_busy"`
	Slots         int    `json:"target_slots"`
}

func (n *Node) metrics() http.Handler {
	e := echo.New()
	e.GET("/metrics", n.writeMetrics)
	e.GET("/status", func(c echo.Context) error {
		s := n.gate.State()
		return c.JSON(http.StatusOK, status{
			Node: n.settings.Name, Started: n.started.UnixMilli(), Ready: n.isReady(), Leaving: n.leaving.Load(),
			Configuration: n.current.Configuration().Version, Nodes: len(n.roster.Nodes()),
			GateOpen: s.Accepting, Suspect: s.Suspect, Busy: s.Outstanding, Slots: s.Slots,
		})
	})
	return e
}

func (n *Node) writeMetrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
	n.meter.set.WritePrometheus(c.Response())
	metrics.WriteProcessMetrics(c.Response())
	return nil
}

const (
	// httpTimeout bounds reading and answering a request to the node itself.
	httpTimeout     = 5 * time.Second
	httpIdleTimeout = time.Minute
	httpHeadBytes   = 16 << 10
)

// serveHTTP serves an address until the returned function is called.
func serveHTTP(address string, h http.Handler) (func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &http.Server{
		Handler: h, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: httpIdleTimeout,
		MaxHeaderBytes: httpHeadBytes, BaseContext: func(net.Listener) context.Context { return context.Background() },
	}
	go s.Serve(l)
	return func() { s.Close() }, nil
}
