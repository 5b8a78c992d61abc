package gate

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/matryer/is"
)

// defaultLoad is a load whose decisions by the default scheduling are known.
type defaultLoad struct {
	name      string
	slots     int
	perSecond float64
	// shedsFrom and shedsUntil are when the target refuses all requests.
	shedsFrom, shedsUntil time.Duration
	// lossShare is the share of the requests that are lost.
	lossShare float64
	// want is the digest of all decisions and of the reported states, as the gate took
	// them before there was a shared scheduling.
	want string
}

// decide sends the load to a gate and returns a digest of its decisions with their times,
// and the number of requests that were granted a slot.
func (l defaultLoad) decide(t *testing.T) (digest string, granted int) {
	g := newGate()
	a := announcement("i", 1000, 1)
	a.Slots = l.slots
	if err := g.Announce(a); err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(3, 4))
	startedAt := time.Now()
	var mu sync.Mutex
	var lines []string
	var senders sync.WaitGroup
	for i := 0; time.Since(startedAt) < 8*time.Second; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)))
		now := time.Now()
		route := uint32(random.IntN(3))
		duration := time.Duration((0.5 + random.Float64()) * float64((40+60*time.Duration(route))*time.Millisecond))
		isLost := random.Float64() < l.lossShare
		req := hopheader.Request{
			Service: "s", RouteHash: route + 1, Priority: random.IntN(3), Idempotent: random.IntN(2) == 0, CanRetry: random.IntN(2) == 0,
			IsRetry: random.IntN(8) == 0, Customer: fmt.Sprintf("c%d", random.IntN(9)), CustomerPriority: random.IntN(3),
			SoftDeadline:  now.Add(time.Duration(random.IntN(600)) * time.Millisecond),
			QueueDeadline: now.Add(time.Duration(random.IntN(700)) * time.Millisecond), Deadline: now.Add(2 * time.Second),
		}
		senders.Add(1)
		go func() {
			defer senders.Done()
			gr, p := g.admit(t.Context(), req)
			decidedAt := time.Since(startedAt)
			line := fmt.Sprintf("%04d %v granted %v", i, decidedAt, gr.isTrial)
			if p != nil {
				line = fmt.Sprintf("%04d %v %s %v", i, decidedAt, p.Code, p.RetryAt.Sub(startedAt))
			}
			s := g.State()
			line += fmt.Sprintf(" %d/%d %v", s.Outstanding, s.Slots, s.Suspected)
			mu.Lock()
			lines = append(lines, line)
			if p == nil {
				granted++
			}
			mu.Unlock()
			switch {
			case p != nil:
			case decidedAt >= l.shedsFrom && decidedAt < l.shedsUntil:
				time.Sleep(2*time.Millisecond + time.Duration(i)*time.Nanosecond)
				g.release(gr, resultShed)
			case isLost:
				time.Sleep(duration)
				g.release(gr, resultLost)
			default:
				time.Sleep(duration)
				g.release(gr, resultSuccess)
			}
		}()
	}
	senders.Wait()
	sort.Strings(lines)
	h := fnv.New64a()
	for _, line := range lines {
		fmt.Fprintln(h, line)
	}
	return fmt.Sprintf("%016x of %d", h.Sum64(), len(lines)), granted
}

// Guards against a change for deployments that do not use the shared scheduling: each
// decision, its time and its retry time must be those of the code before it. The digests
// were computed with that code. Who changes the default scheduling on purpose replaces
// them and says so.
func TestDefaultSchedulingDecidesAsBefore(t *testing.T) {
	tests := []defaultLoad{
		{name: "usual load", slots: 3, perSecond: 20, want: "e86f6091909bef46 of 164"},
		{name: "overload", slots: 3, perSecond: 60, want: "3fa5da42bc2966f1 of 476"},
		{name: "shedding", slots: 5, perSecond: 40, shedsFrom: 2 * time.Second, shedsUntil: 6 * time.Second, want: "82abd310f1d02aa7 of 318"},
		{name: "losses", slots: 5, perSecond: 60, lossShare: 0.05, want: "71e47d6535f5a3d2 of 476"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				got, granted := test.decide(t)
				t.Logf("%s, granted %d", got, granted)
				is.Equal(got, test.want)
			})
		})
	}
}
