package node

import (
	"encoding/json"
	"net/http"

	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
)

// adminHandler serves targets beside the node and operators.
func (n *Node) adminHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST("/v1/targets", n.announceTarget)
	e.DELETE("/v1/targets/:address", n.withdrawTarget)
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if !n.journal.IsReady() || n.isLeaving() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET("/debug/status", func(c echo.Context) error { return c.JSON(http.StatusOK, n.Status()) })
	e.GET("/metrics", func(c echo.Context) error {
		n.meter.write(c.Response())
		return nil
	})
	return e
}

// targetFault is the body of a refused announcement.
type targetFault struct {
	Field  string `json:"field"`
	Remedy string `json:"remedy"`
}

func (n *Node) announceTarget(c echo.Context) error {
	var a gate.Announcement
	d := json.NewDecoder(c.Request().Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return c.JSON(http.StatusBadRequest, targetFault{Field: ".", Remedy: err.Error()})
	}
	if n.isLeaving() {
		return c.JSON(http.StatusServiceUnavailable, targetFault{Field: ".", Remedy: "this node is leaving"})
	}
	err := n.gate.Announce(a)
	var fault *gate.AnnouncementError
	if errors.As(err, &fault) {
		return c.JSON(http.StatusBadRequest, targetFault{Field: fault.Field, Remedy: fault.Remedy})
	}
	if err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (n *Node) withdrawTarget(c echo.Context) error {
	if !n.gate.Withdraw(c.Param("address")) {
		return c.JSON(http.StatusNotFound, targetFault{Field: "address", Remedy: "no such target is announced here"})
	}
	return c.NoContent(http.StatusNoContent)
}
