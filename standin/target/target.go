package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// Truncate breaks answers off halfway.
	Truncate bool `json:"truncate"`
	// Cross answers with the ID of another request.
	Cross bool `json:"cross"`
	// FlapSickMillis and FlapWellMillis alternate the faults above with health.
	FlapSickMillis int `json:"flap_sick_ms"`
	FlapWellMillis int `json:"flap_well_ms"`
}

// Server is the stand-in. Use New to make one.
type Server struct {
	service string
	work    time.Duration
	slots   chan struct{}

	// ranFile gets a line for each claim that begins, so that the count
	// outlives the process.
	ranFile io.Writer

	mu     sync.Mutex
	faults Faults
	since  time.Time
	ran    map[string]int
	served int
}

// Headers that the stand-ins use among themselves.
const (
	// HeaderNonce carries what the caller wants to find in its answer.
	HeaderNonce = "X-Standin-Nonce"
	// HeaderSize asks for an answer of that many bytes.
	HeaderSize = "X-Standin-Size"

	headerRequestID = "Cuminwheel-Request-Id"
	headerKey       = "Idempotency-Key"
)

const maxSize = 8 << 20

// New returns a stand-in for a server of the service whose requests take about
// work each. It writes the key of each claim that begins as a line to ranFile.
func New(service string, slots int, work time.Duration, ranFile io.Writer) *Server {
	return &Server{
		ranFile: ranFile,
		service: service,
		work:    work,
		slots:   make(chan struct{}, slots),
		ran:     map[string]int{},
	}
}

// Handler serves work on all paths but /health, /load, /faults and /ran.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/health", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/load", func(c echo.Context) error { return c.JSON(http.StatusOK, map[string]int{"busy": len(s.slots)}) })
	e.PUT("/faults", func(c echo.Context) error {
		var f Faults
		if err := c.Bind(&f); err != nil {
			return err
		}
		s.SetFaults(f)
		return c.NoContent(http.StatusNoContent)
	})
	e.GET("/ran", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Ran()) })
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
	s.since = time.Now()
}

// Ran returns how often each idempotency key ran here.
func (s *Server) Ran() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int, len(s.ran))
	for k, n := range s.ran {
		copied[k] = n
	}
	return copied
}

// present returns the faults that hold now.
func (s *Server) present() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	cycle := f.FlapSickMillis + f.FlapWellMillis
	if cycle > 0 && int(time.Since(s.since).Milliseconds())%cycle >= f.FlapSickMillis {
		return Faults{}
	}
	return f
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	f := s.present()
	s.count(r.Header.Get(headerKey))
	if !s.labour(r.Context(), f) {
		return
	}
	id := r.Header.Get(headerRequestID)
	if f.Cross {
		id = "another-request"
	}
	w.Header().Set(headerRequestID, id)
	if rand.Float64() < f.FailShare {
		http.Error(w, "stand-in failed", http.StatusInternalServerError)
		return
	}
	answer := Answer(s.service, r, body)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if f.Truncate {
		_, _ = w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

// labour takes the time of the work and reports whether the caller stayed.
func (s *Server) labour(ctx context.Context, f Faults) bool {
	if f.Stall {
		<-ctx.Done()
		return false
	}
	d := time.Duration(float64(s.work) * (0.6 + 0.8*rand.Float64()))
	if f.SlowFactor > 1 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) count(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served++
	if key != "" {
		s.ran[key]++
		fmt.Fprintln(s.ranFile, key)
	}
}

// Answer returns what the stand-in answers to a request, from which the caller
// can tell that the answer is whole and its own.
func Answer(service string, r *http.Request, body []byte) []byte {
	size, _ := strconv.Atoi(r.Header.Get(HeaderSize))
	size = min(size, maxSize)
	head := fmt.Sprintf(`{"service":%q,"path":%q,"nonce":%q,"body_hash":"%x","padding":"`,
		service, r.URL.Path, r.Header.Get(HeaderNonce), xxhash.Sum64(body))
	padding := max(0, size-len(head)-2)
	return []byte(head + strings.Repeat("x", padding) + `"}`)
}

// IsOwnAnswer reports whether an answer is whole and belongs to the nonce.
func IsOwnAnswer(answer []byte, nonce string) bool {
	var a struct {
		Nonce string `json:"nonce"`
	}
	return json.Unmarshal(answer, &a) == nil && a.Nonce == nonce
}
