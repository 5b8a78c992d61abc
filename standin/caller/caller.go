package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/standin/target"
)

// Workload describes the load to send.
type Workload struct {
	// Entries are the entry addresses. Each request goes to a random one.
	Entries []string
	// Host is the Host header of all requests.
	Host string
	// Paths are requested with GET. ClaimPaths are requested with POST, and such a
	// request must not be executed more than once.
	Paths      []string
	ClaimPaths []string
	// ClaimShare is the share of requests that are claims.
	ClaimShare float64
	// Rate is in requests per second.
	Rate float64
	// Until is when the generator stops sending.
	Until time.Time
	// Timeout is the deadline that each request carries.
	Timeout time.Duration
	// MaxInFlight bounds the requests in progress. Those beyond it are not sent,
	// only counted.
	MaxInFlight int
	// Credentials are the keys to send, a random one with each request. Without any, no
	// key is sent.
	Credentials []Credential
	// MaxReturns is how often a caller sends a refused request again, under a new ID, when
	// Retry-After says so. It waits at most a third of the time that it has left. If it is
	// above 0, each request has a path of its own, so that a return can be told from
	// another request.
	MaxReturns int
	// Seed determines the sequence of requests.
	Seed uint64
}

// Credential is a key, and the customer that targets must be told for it. The customer is
// empty if the key is unknown or the paths need none.
type Credential struct{ Key, Customer string }

// Generator sends the requests of a workload and records their outcomes. Use New to
// create one.
type Generator struct {
	workload Workload
	client   *http.Client

	mu        sync.Mutex
	report    Report
	latencies *hdrhistogram.Histogram
	// resultsByID holds the outcome of each request by its ID, for the audit.
	resultsByID map[string]callResult
}

// callResult is the outcome of a request as its caller sees it. All flags but isClaim
// are unset if the response is invalid or says that the outcome is unknown.
type callResult struct {
	isClaim bool
	// isAnswered is set for a complete response of the target, also for an error
	// status.
	isAnswered bool
	// isReportedNotRun is set if the response says that the request did not run.
	isReportedNotRun bool
	hasNoResponse    bool
	attempt          Attempt
}

// Attempt is a request as its caller sent it, for audits of keys.
type Attempt struct {
	ID, Key, Entry string
	SentAt         time.Time
	EndedAt        time.Time
	// IsUnauthorized is set if the response was 401.
	IsUnauthorized bool
}

// Attempts returns all requests sent.
func (g *Generator) Attempts() []Attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempts := make([]Attempt, 0, len(g.resultsByID))
	for _, result := range g.resultsByID {
		attempts = append(attempts, result.attempt)
	}
	return attempts
}

func newAttempt(c call, sentAt time.Time, res *http.Response) Attempt {
	return Attempt{
		ID: c.id, Key: c.key, Entry: c.address, SentAt: sentAt, EndedAt: time.Now(),
		IsUnauthorized: res != nil && res.StatusCode == http.StatusUnauthorized,
	}
}

// Bounds of the latency histogram, in µs.
const (
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 3
)

// New returns a generator and a function that closes its idle connections.
func New(w Workload) (*Generator, func()) {
	t := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}
	g := &Generator{
		workload:    w,
		client:      &http.Client{Transport: t},
		latencies:   hdrhistogram.New(minMicros, maxMicros, significantDigits),
		resultsByID: map[string]callResult{},
	}
	g.report.Codes = map[string]int{}
	return g, t.CloseIdleConnections
}

// Run sends the workload and returns its report when all requests have ended.
func (g *Generator) Run(ctx context.Context) Report {
	rng := rand.New(rand.NewPCG(g.workload.Seed, 1))
	inFlight := make(chan struct{}, max(1, g.workload.MaxInFlight))
	interval := time.Duration(float64(time.Second) / g.workload.Rate)
	var wg sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for time.Now().Before(g.workload.Until) && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			continue
		}
		c := g.nextCall(rng)
		select {
		case inFlight <- struct{}{}:
		default:
			g.updateReport(func(r *Report) { r.NotSent++ })
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-inFlight }()
			g.callAndRecord(ctx, c)
		}()
	}
	wg.Wait()
	return g.summarise()
}

// call is a request to be sent.
type call struct {
	method, address, path, id, body, key string
	isClaim                              bool
	// customer is that of the key.
	customer string
}

// nextCall draws the next request.
func (g *Generator) nextCall(rng *rand.Rand) call {
	c := call{
		method:  http.MethodGet,
		address: g.workload.Entries[rng.IntN(len(g.workload.Entries))],
		id:      strconv.FormatUint(rng.Uint64(), 36),
		isClaim: len(g.workload.ClaimPaths) > 0 && rng.Float64() < g.workload.ClaimShare,
	}
	if n := len(g.workload.Credentials); n > 0 {
		credential := g.workload.Credentials[rng.IntN(n)]
		c.key, c.customer = credential.Key, credential.Customer
		c.id = target.RequestID(c.id, c.customer)
	}
	if c.isClaim {
		c.method, c.body = http.MethodPost, c.id
		c.path = g.workload.ClaimPaths[rng.IntN(len(g.workload.ClaimPaths))]
	} else {
		c.path = g.workload.Paths[rng.IntN(len(g.workload.Paths))]
	}
	if g.workload.MaxReturns > 0 {
		c.path += "?request=" + c.id
	}
	return c
}

// callAndRecord sends a request, and sends it again if it is refused and its caller can
// wait for the retry time. It records the outcome of the last attempt in the report.
func (g *Generator) callAndRecord(ctx context.Context, c call) {
	ctx, cancel := context.WithTimeout(ctx, g.workload.Timeout+time.Second)
	defer cancel()
	start := time.Now()
	g.updateReport(func(r *Report) { r.Sent++ })
	id, left := strings.TrimSuffix(c.id, target.RequestID("", c.customer)), g.workload.Timeout
	for returns := 0; ; {
		sentAt := time.Now()
		res, body, err := g.send(ctx, c, left)
		left = g.workload.Timeout - time.Since(start)
		wait, ok := returnDelay(res, left)
		if err != nil || !ok || returns >= g.workload.MaxReturns {
			g.record(c, res, body, err, start, newAttempt(c, sentAt, res))
			return
		}
		g.recordReturn(c, newAttempt(c, sentAt, res))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		returns++
		c.id = target.RequestID(id+"r"+strconv.Itoa(returns), c.customer)
		left = g.workload.Timeout - time.Since(start)
	}
}

// maxWaitShare is the longest time that a caller waits before it returns, as a share of the
// time that it has left.
const maxWaitShare = 1.0 / 3

// returnDelay returns how long the caller of a refused request waits before it returns.
func returnDelay(res *http.Response, left time.Duration) (wait time.Duration, ok bool) {
	if res == nil || !isRefusal(res) {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0, false
	}
	wait = time.Duration(seconds * float64(time.Second))
	return wait, wait <= time.Duration(maxWaitShare*float64(left))
}

// isRefusal reports whether a response of the proxy says that the request did not run.
func isRefusal(res *http.Response) bool {
	return res.Header.Get(outcome.HeaderCode) != "" && slices.Contains(notRunStatuses, res.StatusCode)
}

// recordReturn records an attempt that was refused and is sent again under another ID.
func (g *Generator) recordReturn(c call, a Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Returns++
	g.resultsByID[c.id] = callResult{isClaim: c.isClaim, isReportedNotRun: true, attempt: a}
}

// record records the outcome of a request. Responses of the proxy carry an outcome code,
// responses of a target none.
func (g *Generator) record(c call, res *http.Response, body []byte, err error, start time.Time, a Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	result := callResult{isClaim: c.isClaim, attempt: a}
	latency := a.EndedAt.Sub(start)
	defer func() { g.resultsByID[c.id] = result }()
	if err != nil {
		g.report.NoResponse++
		result.hasNoResponse = true
		return
	}
	code := res.Header.Get(outcome.HeaderCode)
	switch {
	case res.StatusCode < minStatus || res.StatusCode > maxStatus:
		g.report.Invalid++
	case code == "" && res.StatusCode != http.StatusOK:
		g.report.Errors++
		result.isAnswered = true
	case code == "" && !target.IsResponseTo(body, c.id):
		g.report.Invalid++
	case code == "":
		g.report.Answered++
		result.isAnswered = true
		// Recording cannot fail: the value is clamped to the bounds of the histogram.
		_ = g.latencies.RecordValue(min(maxMicros, max(minMicros, latency.Microseconds())))
	case isRefusal(res):
		g.report.NotRun++
		g.report.Codes[code]++
		result.isReportedNotRun = true
	default:
		g.report.Unknown++
		g.report.Codes[code]++
	}
}

// minStatus and maxStatus bound the status of an HTTP response (RFC 9110 15). net/http reads
// any three digits.
const minStatus, maxStatus = 100, 599

// notRunStatuses are the statuses with which a node guarantees that the request did not
// run.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized}

func (g *Generator) send(ctx context.Context, c call, timeout time.Duration) (*http.Response, []byte, error) {
	var body io.Reader
	if c.body != "" {
		body = strings.NewReader(c.body)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.address+c.path, body)
	if err != nil {
		return nil, nil, err
	}
	req.GetBody = nil // prevents the transport from resending a claim
	req.Host = g.workload.Host
	SetHeaders(req.Header, c.id, c.key, timeout)
	res, err := g.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	resBody, err := io.ReadAll(res.Body)
	return res, resBody, err
}

// SetHeaders sets the platform's headers of a request. Without a key none is sent. The
// customer that the request claims is forged, since no target must get it.
func SetHeaders(h http.Header, id, key string, timeout time.Duration) {
	h.Set("Cuminwheel-Request-Id", id)
	h.Set("Cuminwheel-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	h.Set("Cuminwheel-Tenant-Id", "forged")
	if key != "" {
		SetKey(h, key)
	}
}

// SetKey sets the platform's header with the key of a customer.
func SetKey(h http.Header, key string) { h.Set("Cuminwheel-Key", key) }

func (g *Generator) updateReport(update func(*Report)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	update(&g.report)
}
