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
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Faults are the faults that the stand-in injects into requests. Its health endpoint
// never shows any of them.
type Faults struct {
	// Stall blocks requests until their deadline or cancellation.
	Stall bool `json:"stall"`
	// SlowFactor multiplies the work time. Values up to 1 have no effect.
	SlowFactor float64 `json:"slow_factor"`
	// FailShare is the share of requests that get status 500.
	FailShare float64 `json:"fail_share"`
	// ResetShare is the share of requests whose connection is reset in place of a
	// response, half of them after the request has run.
	ResetShare float64 `json:"reset_share"`
	// ShedShare is the share of requests that are refused without having run.
	ShedShare float64 `json:"shed_share"`
	// Truncate ends responses after half of the body.
	Truncate bool `json:"truncate"`
	// WrongRequestID sends responses with the ID of another request in the header.
	WrongRequestID bool `json:"cross"`
	// DuplicateResponse sends each response twice on the connection.
	DuplicateResponse bool `json:"extra"`
	// RepeatShare is the share of refusals that are sent a second time, when the next
	// request arrives on the connection. It needs ConnContext.
	RepeatShare float64 `json:"repeat_share"`
	// TruncateHead ends responses in the middle of their head.
	TruncateHead bool `json:"truncate_head"`
	// Limit is the request limit that all responses name, in requests per second; 0 is
	// none.
	Limit float64 `json:"limit"`
	// Leaving makes all responses say that the target leaves, for good.
	Leaving bool `json:"leaving"`
}

// Headers of the platform that the stand-in reads or sets.
const (
	headerRequestID        = "Cuminwheel-Request-Id"
	headerDeadline         = "Cuminwheel-Deadline-Ms"
	headerSignature        = "Cuminwheel-Server-Signature"
	headerExpectedInstance = "Cuminwheel-Expected-Instance"
	headerNotExecuted      = "Cuminwheel-Not-Executed"
	headerServerLoad       = "Cuminwheel-Server-Load"
	headerInstanceID       = "Cuminwheel-Instance-Id"
	headerKey              = "Cuminwheel-Key"
	headerCustomer         = "Cuminwheel-Tenant-Id"
	headerRequestLimit     = "Server-Limit"
	headerLeaving          = "Server-Leaving"
)

// SignatureLine is the line of a head that proves that a target has written the response.
const SignatureLine = headerSignature + ": s\r\n"

// CrashPath is the end of the path of the requests that crash the stand-in.
const CrashPath = "/crash"

// Server is the stand-in for a target. Use New to create one.
type Server struct {
	// Instance is the ID of this process of the target.
	Instance string
	service  string
	workTime time.Duration
	slots    chan struct{}

	mu      sync.Mutex
	faults  Faults
	notices noticeAudit
	// drainConfirmedAt is when the node confirmed that the target drains, or zero.
	drainConfirmedAt time.Time
	// OnCrash, if not nil, is called when a request whose path ends with CrashPath has
	// begun to run. It should end the target as a crash does.
	OnCrash func()
	// executions gets a line with the ID of each request that starts to run.
	executions io.Writer
}

// New returns a stand-in for a target of the service that executes up to slots requests
// at once, each in about workTime. It writes the ID of each request that starts as a
// line to executions.
func New(instance, service string, slots int, workTime time.Duration, executions io.Writer) *Server {
	return &Server{Instance: instance, service: service, workTime: workTime, slots: make(chan struct{}, slots), executions: executions}
}

// Handler executes requests to all paths but /healthz and /faults.
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

// SetFaults replaces the current faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Leaving = f.Leaving || s.faults.Leaving
	s.faults = f
	s.notices.update(f.Limit)
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// serve waits for a free slot, executes the request and writes its response, with the
// current faults. It refuses a request that gets no slot before its deadline.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	repeatRefusal(r)
	f := s.currentFaults()
	s.auditArrival()
	s.auditIdentity(r)
	id := r.Header.Get(headerRequestID)
	h := w.Header()
	h.Set(headerRequestID, id)
	if f.Limit > 0 {
		h.Set(headerRequestLimit, strconv.FormatFloat(f.Limit, 'g', -1, 64))
	}
	if f.Leaving {
		h.Set(headerLeaving, "1")
	}
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
		noteRefusal(r, f.RepeatShare)
		s.rejectNotExecuted(w)
		return
	}
	resetsConnection := rand.Float64() < f.ResetShare
	if resetsConnection && rand.IntN(2) == 0 {
		resetConnection(w)
		return
	}
	s.recordExecution(id)
	if s.OnCrash != nil && strings.HasSuffix(r.URL.Path, CrashPath) {
		s.OnCrash()
		return
	}
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

// rejectNotExecuted tells the node that the request did not run, so that it may be sent
// to another target.
func (s *Server) rejectNotExecuted(w http.ResponseWriter) {
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// remainingTime returns the time until the deadline that the request carries, or a
// minute if it carries none.
func remainingTime(r *http.Request) time.Duration {
	millis, err := strconv.Atoi(r.Header.Get(headerDeadline))
	if err != nil {
		return time.Minute
	}
	return time.Duration(millis) * time.Millisecond
}

// resetConnection closes the connection with a TCP reset.
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
	case f.TruncateHead:
		writeHalfHead(w, body, id)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.Truncate {
		w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	if _, err := w.Write(body); err == nil && !f.WrongRequestID {
		s.recordNoticesSent(f)
	}
}

// writeResponseTwice writes the response and repeats it after a millisecond.
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

// writeHalfHead writes the head of a response up to a random byte and closes the
// connection.
func writeHalfHead(w http.ResponseWriter, body []byte, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: standin.%s\r\nContent-Length: %d\r\n\r\n",
		headerRequestID, id, headerSignature, id, len(body))
	conn.Write(head[:rand.IntN(len(head))])
}

// doWork waits for 0.6 to 1.4 times the work time and reports whether the work was done
// before the deadline.
func (s *Server) doWork(ctx context.Context, f Faults) bool {
	if f.Stall {
		<-ctx.Done()
		return false
	}
	duration := time.Duration(float64(s.workTime) * (0.6 + 0.8*rand.Float64()))
	if f.SlowFactor > 1 {
		duration = time.Duration(float64(duration) * f.SlowFactor)
	}
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// StartedAfterDrainID is recorded, besides its own ID, for each request that starts
// although the drain of the target was confirmed more than inFlightAllowance ago.
const StartedAfterDrainID = "late"

// inFlightAllowance is how long after the drain was confirmed a request may still
// arrive that the node sent before.
const inFlightAllowance = 500 * time.Millisecond

// MarkDraining records that the node has just confirmed the drain of the target.
func (s *Server) MarkDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainConfirmedAt = time.Now()
}

// recordExecution records that a request starts to run.
func (s *Server) recordExecution(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drainConfirmedAt.IsZero() && time.Since(s.drainConfirmedAt) > inFlightAllowance {
		fmt.Fprintln(s.executions, StartedAfterDrainID)
	}
	fmt.Fprintln(s.executions, id)
	if Customer(id) != "" {
		fmt.Fprintf(s.executions, "%s%d:%s\n", RunPrefix, time.Now().UnixMilli(), id)
	}
}

// response is the body of a response.
type response struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	ID      string `json:"id"`
}

// EncodeResponse returns the body of the response to a request. The caller can tell from
// it that the response is complete and belongs to the request.
func EncodeResponse(service, path, id string) []byte {
	encoded, err := json.Marshal(response{Service: service, Path: path, ID: id})
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	return encoded
}

// IsResponseTo reports whether a body is complete and belongs to the request with the
// ID.
func IsResponseTo(body []byte, id string) bool {
	var res response
	return json.Unmarshal(body, &res) == nil && res.ID == id
}
