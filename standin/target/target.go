package target

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Faults tells the stand-in how to be sick. Its health endpoint never shows
// any of them.
type Faults struct {
	// Stall holds real work until its deadline or cancellation.
	Stall bool `json:"stall"`
	// SlowFactor multiplies the time of work; 0 and 1 leave it.
	SlowFactor float64 `json:"slow_factor"`
	// FailShare of the requests get status 500.
	FailShare float64 `json:"fail_share"`
	// ResetShare of the requests get their connection reset in place of an
	// answer, half of them after the request has run.
	ResetShare float64 `json:"reset_share"`
	// ShedShare of the requests are refused without having run.
	ShedShare float64 `json:"shed_share"`
	// Truncate breaks answers off halfway.
	Truncate bool `json:"truncate"`
	// WrongRequestID answers with the ID of another request.
	WrongRequestID bool `json:"cross"`
	// DuplicateResponse sends each answer twice.
	DuplicateResponse bool `json:"extra"`
}

// Headers of the platform that the stand-in reads and writes.
const (
	headerRequestID        = "Cuminwheel-Request-Id"
	headerDeadline         = "Cuminwheel-Deadline-Ms"
	headerSignature        = "Cuminwheel-Server-Signature"
	headerExpectedInstance = "Cuminwheel-Expected-Instance"
	headerNotExecuted      = "Cuminwheel-Not-Executed"
	headerServerLoad       = "Cuminwheel-Server-Load"
	headerInstanceID       = "Cuminwheel-Instance-Id"
)

// Server is the stand-in. Use New to make one.
type Server struct {
	// Instance names this start.
	Instance string
	service  string
	workTime time.Duration
	slots    chan struct{}

	mu     sync.Mutex
	faults Faults
	// drainConfirmedAt is when the node confirmed that the target drains.
	drainConfirmedAt time.Time
	// executions gets a line with its id for each request that begins to run.
	executions io.Writer
}

// New returns a stand-in for a server of the service whose requests take about
// work each. It writes the id of each request that begins as a line to ran.
func New(instance, service string, slots int, workTime time.Duration, executions io.Writer) *Server {
	return &Server{Instance: instance, service: service, workTime: workTime, slots: make(chan struct{}, slots), executions: executions}
}

// Handler serves work on all paths but /healthz and /faults.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error {
		c.Response().Header().Set(headerInstanceID, s.Instance)
		return c.String(http.StatusOK, "ok\n")
	})
	e.PUT("/faults", func(c echo.Context) error {
		var f Faults
		if err := c.Bind(&f); err != nil {
			return err
		}
		s.SetFaults(f)
		return c.NoContent(http.StatusNoContent)
	})
	e.Any("/*", func(c echo.Context) error {
		s.serve(c.Response(), c.Request())
		return nil
	})
	return e
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	f := s.currentFaults()
	id := r.Header.Get(headerRequestID)
	h := w.Header()
	h.Set(headerRequestID, id)
	if expected := r.Header.Get(headerExpectedInstance); expected != "" && expected != s.Instance {
		h.Set(headerInstanceID, s.Instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), remainingTime(r))
	defer cancel()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		s.rejectNotExecuted(w)
		return
	}
	if rand.Float64() < f.ShedShare {
		s.rejectNotExecuted(w)
		return
	}
	resetsConnection := rand.Float64() < f.ResetShare
	if resetsConnection && rand.IntN(2) == 0 {
		resetConnection(w)
		return
	}
	s.recordExecution(id)
	if !s.doWork(ctx, f) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if resetsConnection {
		resetConnection(w)
		return
	}
	h.Set(headerServerLoad, fmt.Sprintf("%d,0,%d", len(s.slots), cap(s.slots)))
	h.Set(headerSignature, "standin."+id)
	if rand.Float64() < f.FailShare {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.writeResponse(w, r, f, id)
}

func (s *Server) rejectNotExecuted(w http.ResponseWriter) {
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func remainingTime(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(headerDeadline))
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms) * time.Millisecond
}

// resetConnection closes the connection with a resetConnection.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tc, ok := conn.(*net.TCPConn); ok {
		tc.SetLinger(0)
	}
	conn.Close()
}

func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, f Faults, id string) {
	body := EncodeResponse(s.service, r.URL.Path, id)
	switch {
	case f.WrongRequestID:
		w.Header().Set(headerRequestID, "another-request")
	case f.DuplicateResponse:
		s.writeResponseTwice(w, body, id)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.Truncate {
		w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	w.Write(body)
}

// writeResponseTwice writes the answer and, a little later, the same again.
func (s *Server) writeResponseTwice(w http.ResponseWriter, body []byte, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	bw := bufio.NewWriter(conn)
	for range 2 {
		fmt.Fprintf(bw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: standin.%s\r\nContent-Length: %d\r\n\r\n%s",
			headerRequestID, id, headerSignature, id, len(body), body)
		bw.Flush()
		time.Sleep(time.Millisecond)
	}
}

// doWork takes the time of the work and reports whether it was done in time.
func (s *Server) doWork(ctx context.Context, f Faults) bool {
	if f.Stall {
		<-ctx.Done()
		return false
	}
	d := time.Duration(float64(s.workTime) * (0.6 + 0.8*rand.Float64()))
	if f.SlowFactor > 1 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// StartedAfterDrainID is noted for each request that begins when it should not any more.
const StartedAfterDrainID = "late"

// inFlightAllowance is how long after the confirmation a request may still arrive that
// was on its way.
const inFlightAllowance = 500 * time.Millisecond

// MarkDraining tells that the node has just confirmed that the target drains.
func (s *Server) MarkDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainConfirmedAt = time.Now()
}

func (s *Server) recordExecution(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drainConfirmedAt.IsZero() && time.Since(s.drainConfirmedAt) > inFlightAllowance {
		fmt.Fprintln(s.executions, StartedAfterDrainID)
	}
	fmt.Fprintln(s.executions, id)
}

// response is the stand-in's answer.
type response struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	ID      string `json:"id"`
}

// EncodeResponse returns what the stand-in answers, from which the caller can tell that
// the answer is whole and its own.
func EncodeResponse(service, path, id string) []byte {
	b, err := json.Marshal(response{Service: service, Path: path, ID: id})
	if err != nil {
		panic(err) // a document of strings always encodes
	}
	return b
}

// IsResponseTo reports whether an answer is whole and belongs to the id.
func IsResponseTo(body []byte, id string) bool {
	var d response
	return json.Unmarshal(body, &d) == nil && d.ID == id
}
