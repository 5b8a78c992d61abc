package logservice

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	client "github.com/cuminwheel/cuminwheel/connection/logservice"
	"github.com/labstack/echo/v4"
)

// Faults tells the stand-in how to misbehave.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// DelayMillis is added to every call.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers drops the answer to this many appends after they took effect.
	LoseAnswers int `json:"lose_answers"`
}

// Server is the stand-in. Use New to make one.
type Server struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	keep    int
}

type stream struct {
	first   int64
	records [][]byte
	grown   chan struct{}
}

const maxRecordBytes = 1 << 20

// New returns a stand-in that keeps the newest keep records of each stream.
func New(keep int) *Server {
	return &Server{streams: map[string]*stream{}, keep: keep}
}

// Handler serves the log's calls, and PUT and GET /faults for its faults.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST("/streams/:name/records", s.append)
	e.GET("/streams/:name/records", s.read)
	e.PUT("/faults", func(c echo.Context) error {
		var f Faults
		if err := c.Bind(&f); err != nil {
			return err
		}
		s.SetFaults(f)
		return c.NoContent(http.StatusNoContent)
	})
	e.GET("/faults", func(c echo.Context) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return c.JSON(http.StatusOK, s.faults)
	})
	return e
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Len returns how many records a stream has had.
func (s *Server) Len(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	return st.first + int64(len(st.records))
}

func (s *Server) append(c echo.Context) error {
	if err := s.misbehave(c); err != nil {
		return err
	}
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, maxRecordBytes+1))
	if err != nil {
		return err
	}
	if len(raw) > maxRecordBytes {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	offset, loseAnswer := s.add(c.Param("name"), raw)
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusCreated, client.Batch{First: offset, Next: offset + 1})
}

func (s *Server) add(name string, raw []byte) (offset int64, loseAnswer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.records = append(st.records, raw)
	offset = st.first + int64(len(st.records)) - 1
	if drop := len(st.records) - s.keep; drop > 0 {
		st.records = st.records[drop:]
		st.first += int64(drop)
	}
	close(st.grown)
	st.grown = make(chan struct{})
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return offset, true
	}
	return offset, false
}

func (s *Server) read(c echo.Context) error {
	if err := s.misbehave(c); err != nil {
		return err
	}
	from, err := strconv.ParseInt(c.QueryParam("from"), 10, 64)
	if err != nil || from < 0 {
		return echo.NewHTTPError(http.StatusBadRequest, "from: give an offset, 0 or more")
	}
	maxBytes, _ := strconv.Atoi(c.QueryParam("max_bytes"))
	waitMillis, _ := strconv.Atoi(c.QueryParam("wait_ms"))
	deadline := time.Now().Add(time.Duration(waitMillis) * time.Millisecond)
	for {
		b, grown, status := s.batch(c.Param("name"), from, maxBytes)
		if status != http.StatusOK || len(b.Records) > 0 || !time.Now().Before(deadline) {
			return c.JSON(status, b)
		}
		waitFor(c.Request().Context(), grown, deadline)
		if s.isDown() || c.Request().Context().Err() != nil {
			return c.NoContent(http.StatusServiceUnavailable)
		}
	}
}

func (s *Server) batch(name string, from int64, maxBytes int) (client.Batch, chan struct{}, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	b := client.Batch{First: from, Next: st.first + int64(len(st.records))}
	if from < st.first {
		b.First = st.first
		return b, nil, http.StatusGone
	}
	for i := from - st.first; i < int64(len(st.records)); i++ {
		maxBytes -= len(st.records[i])
		if maxBytes < 0 && len(b.Records) > 0 {
			break
		}
		b.Records = append(b.Records, st.records[i])
	}
	return b, st.grown, http.StatusOK
}

func (s *Server) misbehave(c echo.Context) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.DelayMillis > 0 {
		delay := time.Now().Add(time.Duration(f.DelayMillis) * time.Millisecond)
		waitFor(c.Request().Context(), nil, delay)
	}
	if f.Outage {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "log stand-in is set to be down")
	}
	return nil
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Outage
}

func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func waitFor(ctx context.Context, grown <-chan struct{}, deadline time.Time) {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-grown:
	case <-t.C:
	case <-ctx.Done():
	}
}
