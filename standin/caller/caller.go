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
	"github.com/cuminwheel/cuminwheel/process/pause"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Plan says what load to send.
type Plan struct {
	// Entries are the entry addresses, used at random.
	Entries []string
	// Paths are read with GET; ClaimPaths are posted to with a key.
	Paths      []string
	ClaimPaths []string
	// ClaimShare is the share of requests that are claims.
	ClaimShare float64
	// RepeatShare is the share of claims that are sent twice with one key.
	RepeatShare float64
	// Rate is in requests a second.
	Rate     float64
	Until    time.Time
	Timeout  time.Duration
	Customer string
	// MaxInFlight bounds what the stand-in has open; requests over it are
	// counted as not sent.
	MaxInFlight int
	Seed        uint64
}

// Load sends a plan's requests. Use New to make one.
type Load struct {
	plan   Plan
	client *http.Client

	mu     sync.Mutex
	report Report
	hist   *hdrhistogram.Histogram
	claims map[string]claimFate
}

// claimFate is what the caller was told of a key.
type claimFate struct {
	answered bool
	notRun   bool
}

// Bounds of the latency histogram, in µs.
const (
	minMicros = 1
	maxMicros = 60_000_000
	digits    = 3
)

// New returns a load and a function that closes its connections.
func New(p Plan) (*Load, func()) {
	t := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}
	l := &Load{
		plan:   p,
		client: &http.Client{Transport: t},
		hist:   hdrhistogram.New(minMicros, maxMicros, digits),
		claims: map[string]claimFate{},
	}
	l.report.Codes = map[string]int{}
	return l, t.CloseIdleConnections
}

// Run sends the load and returns when all requests have ended.
func (l *Load) Run(ctx context.Context) Report {
	random := rand.New(rand.NewPCG(l.plan.Seed, 1))
	slots := make(chan struct{}, max(1, l.plan.MaxInFlight))
	interval := time.Duration(float64(time.Second) / l.plan.Rate)
	var wg sync.WaitGroup
	next := time.Now()
	for next.Before(l.plan.Until) && ctx.Err() == nil {
		pause.Until(ctx, next)
		next = next.Add(interval)
		shots := l.draw(random)
		for _, s := range shots {
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
	}
	wg.Wait()
	return l.finish()
}

// shot is one request to be sent.
type shot struct {
	method, address, path, key, nonce string
}

// draw makes the next request, or two with one key.
func (l *Load) draw(random *rand.Rand) []shot {
	s := shot{
		method:  http.MethodGet,
		address: l.plan.Entries[random.IntN(len(l.plan.Entries))],
		nonce:   strconv.FormatUint(random.Uint64(), 36),
	}
	if len(l.plan.ClaimPaths) == 0 || random.Float64() >= l.plan.ClaimShare {
		s.path = l.plan.Paths[random.IntN(len(l.plan.Paths))]
		return []shot{s}
	}
	s.method = http.MethodPost
	s.path = l.plan.ClaimPaths[random.IntN(len(l.plan.ClaimPaths))]
	s.key = uuid.Must(uuid.NewV7()).String()
	if random.Float64() >= l.plan.RepeatShare {
		return []shot{s}
	}
	repeat := s
	repeat.address = l.plan.Entries[random.IntN(len(l.plan.Entries))]
	return []shot{s, repeat}
}

func (l *Load) shoot(ctx context.Context, s shot) {
	ctx, cancel := context.WithTimeout(ctx, l.plan.Timeout+time.Second)
	defer cancel()
	began := time.Now()
	res, body, err := l.send(ctx, s)
	took := time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Sent++
	if err != nil {
		l.report.NoResponse++
		l.note(s, claimFate{})
		return
	}
	o := outcome.Outcome(res.Header.Get(outcome.HeaderOutcome))
	switch o {
	case outcome.Answered:
		l.answered(s, res, body, took)
	case outcome.NotRun:
		l.report.NotRun++
		l.report.Codes[res.Header.Get(outcome.HeaderCode)]++
		l.note(s, claimFate{notRun: true})
	default:
		l.report.Unknown++
		l.report.Codes[res.Header.Get(outcome.HeaderCode)]++
		l.note(s, claimFate{})
	}
}

func (l *Load) answered(s shot, res *http.Response, body []byte, took time.Duration) {
	if res.StatusCode != http.StatusOK {
		l.report.Errors++
		l.note(s, claimFate{answered: true})
		return
	}
	if !target.IsOwnAnswer(body, s.nonce) {
		l.report.Foreign++
		return
	}
	l.report.Answered++
	_ = l.hist.RecordValue(max(minMicros, took.Microseconds()))
	l.note(s, claimFate{answered: true})
}

func (l *Load) send(ctx context.Context, s shot) (*http.Response, []byte, error) {
	var body io.Reader
	if s.method == http.MethodPost {
		body = strings.NewReader(s.nonce)
	}
	req, err := http.NewRequestWithContext(ctx, s.method, "http://"+s.address+s.path, body)
	if err != nil {
		return nil, nil, err
	}
	req.GetBody = nil
	req.Header.Set(target.HeaderNonce, s.nonce)
	req.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(l.plan.Timeout.Milliseconds(), 10))
	if l.plan.Customer != "" {
		req.Header.Set(outcome.HeaderCustomer, l.plan.Customer)
	}
	if s.key != "" {
		// In small letters, so that the transport does not repeat it by itself.
		req.Header["idempotency-key"] = []string{s.key}
	}
	res, err := l.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read answer")
	}
	return res, b, nil
}

// note keeps the strongest thing that was said of a key. A key of which one
// request said "not run" and another was answered was in progress between.
func (l *Load) note(s shot, f claimFate) {
	if s.key == "" {
		return
	}
	old, known := l.claims[s.key]
	if !known {
		l.claims[s.key] = f
		return
	}
	l.claims[s.key] = claimFate{answered: old.answered || f.answered, notRun: old.notRun && f.notRun}
}

func (l *Load) count(f func(*Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.report)
}
