package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/standin/target"
)

// Workload says what load to send.
type Workload struct {
	// Entries are the entry addresses, used at random.
	Entries []string
	// Host is the host of all requests.
	Host string
	// Paths are read with GET; ClaimPaths are posted to and must run once.
	Paths      []string
	ClaimPaths []string
	// ClaimShare is the share of requests that are claims.
	ClaimShare float64
	// Rate is in requests a second.
	Rate    float64
	Until   time.Time
	Timeout time.Duration
	// MaxInFlight bounds what the stand-in has open; requests over it are
	// counted as not sent.
	MaxInFlight int
	Seed        uint64
}

// Generator sends a plan's requests. Use New to make one.
type Generator struct {
	plan   Workload
	client *http.Client

	mu     sync.Mutex
	report Report
	hist   *hdrhistogram.Histogram
	// told is what the caller was told of each request, by id.
	told map[string]fate
}

// fate is what the caller was told of a request.
type fate struct {
	claim    bool
	answered bool
	notRun   bool
	cut      bool
}

// Bounds of the latency histogram, in µs.
const (
	minMicros = 1
	maxMicros = 60_000_000
	digits    = 3
)

// New returns a load and a function that closes its connections.
func New(p Workload) (*Generator, func()) {
	t := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}
	l := &Generator{
		plan:   p,
		client: &http.Client{Transport: t},
		hist:   hdrhistogram.New(minMicros, maxMicros, digits),
		told:   map[string]fate{},
	}
	l.report.Codes = map[string]int{}
	return l, t.CloseIdleConnections
}

// Run sends the load and returns when all requests have ended.
func (l *Generator) Run(ctx context.Context) Report {
	random := rand.New(rand.NewPCG(l.plan.Seed, 1))
	slots := make(chan struct{}, max(1, l.plan.MaxInFlight))
	interval := time.Duration(float64(time.Second) / l.plan.Rate)
	var wg sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for time.Now().Before(l.plan.Until) && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			continue
		}
		s := l.draw(random)
		select {
		case slots <- struct{}{}:
		default:
			l.count(func(r *Report) { r.NotSent++ })
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			l.shoot(ctx, s)
		}()
	}
	wg.Wait()
	return l.finish()
}

// shot is one request to be sent.
type shot struct {
	method, address, path, id string
	claim                     bool
}

// draw makes the next request.
func (l *Generator) draw(random *rand.Rand) shot {
	s := shot{
		method:  http.MethodGet,
		address: l.plan.Entries[random.IntN(len(l.plan.Entries))],
		id:      strconv.FormatUint(random.Uint64(), 36),
		claim:   len(l.plan.ClaimPaths) > 0 && random.Float64() < l.plan.ClaimShare,
	}
	if !s.claim {
		s.path = l.plan.Paths[random.IntN(len(l.plan.Paths))]
		return s
	}
	s.method = http.MethodPost
	s.path = l.plan.ClaimPaths[random.IntN(len(l.plan.ClaimPaths))]
	return s
}

func (l *Generator) shoot(ctx context.Context, s shot) {
	ctx, cancel := context.WithTimeout(ctx, l.plan.Timeout+time.Second)
	defer cancel()
	began := time.Now()
	res, body, err := l.send(ctx, s)
	took := time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Sent++
	f := fate{claim: s.claim}
	defer func() { l.told[s.id] = f }()
	if err != nil {
		l.report.NoResponse++
		f.cut = true
		return
	}
	code := res.Header.Get(outcome.HeaderCode)
	switch {
	case code == "" && res.StatusCode != http.StatusOK:
		l.report.Errors++
		f.answered = true
	case code == "" && !target.IsResponseTo(body, s.id):
		l.report.Invalid++
	case code == "":
		l.report.Answered++
		f.answered = true
		// The value is within the histogram's bounds.
		_ = l.hist.RecordValue(min(maxMicros, max(minMicros, took.Microseconds())))
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		l.report.NotRun++
		l.report.Codes[code]++
		f.notRun = true
	default:
		l.report.Unknown++
		l.report.Codes[code]++
	}
}

func (l *Generator) send(ctx context.Context, s shot) (*http.Response, []byte, error) {
	var body io.Reader
	if s.claim {
		body = strings.NewReader(s.id)
	}
	req, err := http.NewRequestWithContext(ctx, s.method, "http://"+s.address+s.path, body)
	if err != nil {
		return nil, nil, err
	}
	req.GetBody = nil // keeps the transport from sending a claim twice
	req.Host = l.plan.Host
	req.Header.Set("Cuminwheel-Request-Id", s.id)
	req.Header.Set("Cuminwheel-Deadline-Ms", strconv.FormatInt(l.plan.Timeout.Milliseconds(), 10))
	res, err := l.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res, b, err
}

func (l *Generator) count(f func(*Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.report)
}
