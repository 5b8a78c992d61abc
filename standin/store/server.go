package store

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/binary"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
)

// Faults are the faults that the stand-in injects into the calls of the store.
type Faults struct {
	// Outage responds to each call with 503 without carrying it out.
	Outage bool `json:"outage"`
	// OutageTopics responds so to the calls that concern these topics.
	OutageTopics []string `json:"outage_topics"`
	// Silent sends no response to any call and keeps the connection open.
	Silent bool `json:"silent"`
	// DelayMillis delays each call.
	DelayMillis int `json:"delay_ms"`
	// LoseResponses is the number of writes that are carried out and then get no
	// response.
	LoseResponses int `json:"lose_answers"`
	// LateMillis delays the next write by that long. It gets no response, and is carried
	// out if its condition still holds.
	LateMillis int `json:"late_ms"`
	// DeleteRecords deletes all records once. The newest value of each key stays.
	DeleteRecords bool `json:"forget"`
	// RevertMillis restores the state of that long ago, once. What was written
	// since is lost.
	RevertMillis int `json:"revert_ms"`
}

// Server is the stand-in for the store. Use New to create one.
type Server struct {
	logs logs
	// PageSize is the maximum number of entries on a page of newest values.
	PageSize int

	mu         sync.Mutex
	faults     Faults
	callCounts map[string]int
}

const (
	defaultPageSize = 500
	maxBodyBytes    = 2 << 20
)

// New returns an empty store.
func New() *Server {
	return &Server{
		logs: logs{partitions: map[string]*partition{}, era: 1}, PageSize: defaultPageSize, callCounts: map[string]int{},
	}
}

// SetFaults replaces the current faults.
func (s *Server) SetFaults(f Faults) {
	if f.DeleteRecords {
		s.logs.deleteRecords()
	}
	if f.RevertMillis > 0 {
		s.logs.revert(time.Now().Add(-time.Duration(f.RevertMillis) * time.Millisecond))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls by path, including those that failed.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for k, n := range s.callCounts {
		counts[k] = n
	}
	return counts
}

// Handler serves the calls of the store, and /faults and /calls to control it.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.PUT("/faults", func(c echo.Context) error {
		var f Faults
		if err := c.Bind(&f); err != nil {
			return err
		}
		s.SetFaults(f)
		return c.NoContent(http.StatusNoContent)
	})
	e.GET("/calls", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Calls()) })
	g := e.Group("/cuminwheel", s.setEra, s.injectFaults)
	g.POST("/log-append", s.handleAppend)
	g.GET("/log-read", s.handleRead)
	g.GET("/log-newest", s.handleNewest)
	return e
}

// eraHeader holds the number of times that the store has gone back to an older
// state, plus one.
const eraHeader = "Store-Era"

// setEra adds the era, as of the response, to each response.
func (s *Server) setEra(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			c.Response().Header().Set(eraHeader, strconv.FormatInt(s.logs.currentEra(), 10))
		})
		return next(c)
	}
}

// injectFaults counts each call and applies the current faults to it.
func (s *Server) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		f := s.faults
		s.callCounts[c.Path()]++
		losesResponse := f.LoseResponses > 0 && c.Request().Method == http.MethodPost
		if losesResponse {
			s.faults.LoseResponses--
		}
		isLate := f.LateMillis > 0 && c.Request().Method == http.MethodPost
		if isLate {
			s.faults.LateMillis = 0
		}
		s.mu.Unlock()
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
		switch {
		case f.Silent:
			// net/http cancels the context of a closed connection only once the
			// body has been read.
			io.Copy(io.Discard, c.Request().Body)
			<-c.Request().Context().Done()
			return nil
		case f.Outage || slices.Contains(f.OutageTopics, c.QueryParam("topic")):
			return c.NoContent(http.StatusServiceUnavailable)
		case isLate:
			return s.appendLate(c, time.Duration(f.LateMillis)*time.Millisecond)
		case losesResponse:
			if err := s.handleAppend(c); err != nil {
				return err
			}
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

// appendLate carries out a write after a delay and sends no response.
func (s *Server) appendLate(c echo.Context, delay time.Duration) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes))
	if err != nil {
		return err
	}
	late := c.Request().Clone(context.Background())
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay, func() {
		// The outcome is told to nobody.
		_ = s.handleAppend(c.Echo().NewContext(late, httptest.NewRecorder()))
	})
	<-c.Request().Context().Done()
	return nil
}

// intParam returns a query parameter, or the fallback if it is absent.
func intParam(c echo.Context, name string, fallback int64) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return fallback, nil
	}
	return strconv.ParseInt(text, 10, 64)
}

func (s *Server) handleAppend(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes))
	if err != nil {
		return err
	}
	records, err := splitRecords(body)
	expectedEnd, endErr := intParam(c, "as_of", -1)
	if err != nil || endErr != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	offset, end, err := s.logs.appendRecords(c.QueryParam("topic"), c.QueryParam("part"), records, expectedEnd)
	switch {
	case errors.Is(err, errOffsetMismatch):
		return c.JSON(http.StatusPreconditionFailed, map[string]int64{"end": end})
	case err != nil:
		return c.NoContent(http.StatusBadRequest)
	}
	return c.JSON(http.StatusOK, map[string]int64{"offset": offset, "end": end})
}

func (s *Server) handleRead(c echo.Context) error {
	from, err := intParam(c, "from", 0)
	wait, waitErr := intParam(c, "wait_ms", 0)
	if err != nil || waitErr != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	end, first, records, err := s.logs.readRecords(c.Request().Context(), c.QueryParam("topic"), c.QueryParam("part"),
		from, time.Duration(wait)*time.Millisecond)
	if errors.Is(err, errRecordsDeleted) {
		return c.JSON(http.StatusGone, map[string]int64{"first": first})
	}
	if err != nil {
		return err
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, uint64(first))
	for _, r := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(len(r)))
		body = append(body, r...)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, body)
}

// keyItem is an entry on a page of newest values. The value is in base64.
type keyItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

// handleNewest returns a page of the newest values in the order of their keys, and
// the end offset of the partition at that moment.
func (s *Server) handleNewest(c echo.Context) error {
	after := c.QueryParam("after")
	s.logs.mu.Lock()
	p := s.logs.getOrCreatePartition(c.QueryParam("topic"), c.QueryParam("part"))
	items := []keyItem{}
	for key, e := range p.newestByKey {
		if key > after {
			items = append(items, keyItem{Key: key, Value: base64.StdEncoding.EncodeToString(e.value), Offset: e.offset})
		}
	}
	end := p.endOffset()
	s.logs.mu.Unlock()
	slices.SortFunc(items, func(a, b keyItem) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(items) > s.PageSize
	if more {
		items = items[:s.PageSize]
	}
	return c.JSON(http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}
