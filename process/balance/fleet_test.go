package balance

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// fleet describes a fleet of nodes that send the requests of one service. It is
// replayed in virtual time: a node learns a gate's state from the responses to its own
// requests alone.
type fleet struct {
	nodes, targets, slots int
	// load is the share of the capacity of all targets that the requests need.
	load float64
	// delay is the additional time after which a node learns what a response reports.
	delay time.Duration
	// slow is the share of targets that take twice as long as the others.
	slow float64
	// shed is the share of targets that refuse every request. Their gates report them as
	// full.
	shed     float64
	duration time.Duration
	seed     uint64
}

const (
	fleetWork = 60 * time.Millisecond
	fleetTrip = time.Millisecond
	// fleetAttempts is how many gates a request is offered to before it is refused.
	fleetAttempts = 6
	fleetSample   = 20 * time.Millisecond
)

// fleetResult is what a replay measured.
type fleetResult struct {
	// outstanding and arrivals are the ratios of the busiest target to the mean, by the
	// requests at a target at a moment (mean of all moments) and by the requests that a
	// target was sent in the whole replay.
	outstanding, arrivals float64
	// refusedIdle is the share of attempts that a full target refused while another one
	// had less than half of its slots in use.
	refusedIdle float64
	// refused is the share of all attempts that targets refused.
	refused float64
	// p99 is of the time from a request's arrival to its response.
	p99 time.Duration
	// longestGap is the longest time for which a target got no request.
	longestGap time.Duration
}

// chooser returns the gate for a request that arrived at a node. truth is what each
// gate would report now, for an oracle.
type chooser func(node int, views []View, truth []int, random func() float64) int

type eventKind int

const (
	eventArrival eventKind = iota
	eventAtTarget
	eventDone
	eventReport
	eventSample
)

type event struct {
	at   time.Duration
	kind eventKind
	job  *job
	// outstanding and sentAt belong to a report.
	outstanding, node, target int
	sentAt, takenAt           time.Duration
	work                      time.Duration
}

type job struct {
	node, target      int
	arrivedAt, sentAt time.Duration
	tried             []int
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// belief is what a node knows of a gate.
type belief struct {
	known       bool
	outstanding int
	takenAt     time.Duration
	pace        float64
	pacedAt     time.Duration
	// sent holds when the node's requests in flight were sent.
	sent []time.Duration
}

// replay is the state of a run.
type replay struct {
	fleet
	choose  chooser
	random  *rand.Rand
	events  eventQueue
	beliefs [][]belief
	views   []View
	busy    []int
	paces   []float64
	// sentTo counts the requests that targets were sent, and lastAt is when.
	sentTo    []int
	lastAt    []time.Duration
	latencies []time.Duration
	// ratios and samples sum the ratio of the busiest target to the mean.
	ratios, samples                          float64
	attempts, refusals, idleRefusals, missed int
	longestGap                               time.Duration
}

// run replays the fleet.
func (f fleet) run(choose chooser) fleetResult {
	r := &replay{
		fleet: f, choose: choose, random: rand.New(rand.NewPCG(f.seed, 1)), views: make([]View, f.targets),
		busy: make([]int, f.targets), paces: make([]float64, f.targets), sentTo: make([]int, f.targets), lastAt: make([]time.Duration, f.targets),
	}
	capacity := 0.0
	for i := range r.paces {
		r.paces[i] = 1
		if float64(i%10) < 10*f.slow {
			r.paces[i] = 2
		}
		if !r.sheds(i) {
			capacity += float64(f.slots) / r.paces[i]
		}
	}
	for range f.nodes {
		r.beliefs = append(r.beliefs, make([]belief, f.targets))
	}
	interval := time.Duration(float64(fleetWork) / capacity / f.load)
	heap.Push(&r.events, event{kind: eventArrival})
	heap.Push(&r.events, event{at: f.duration / 4, kind: eventSample})
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		if e.at > f.duration {
			break
		}
		r.step(e, interval)
	}
	for _, at := range r.lastAt { // the replay ends during the last gap
		r.longestGap = max(r.longestGap, f.duration-at)
	}
	return r.result()
}

func (r *replay) step(e event, interval time.Duration) {
	switch e.kind {
	case eventArrival:
		r.send(e.at, &job{node: r.random.IntN(r.nodes), arrivedAt: e.at})
		heap.Push(&r.events, event{at: e.at + time.Duration(r.random.ExpFloat64()*float64(interval)), kind: eventArrival})
	case eventAtTarget:
		r.arrive(e.at, e.job)
	case eventDone:
		r.busy[e.job.target]--
		r.report(e.at, e.job, e.work)
		r.latencies = append(r.latencies, e.at+fleetTrip/2-e.job.arrivedAt)
	case eventReport:
		b := &r.beliefs[e.node][e.target]
		if !b.known || e.takenAt >= b.takenAt {
			b.known, b.outstanding, b.takenAt = true, e.outstanding, e.takenAt
		}
		if e.work > 0 {
			pace := float64(e.work) / float64(fleetWork)
			if b.pace == 0 {
				b.pace = 1
			}
			b.pace += (pace - b.pace) / 8
			b.pacedAt = e.at
		}
		if i := slices.Index(b.sent, e.sentAt); i >= 0 {
			b.sent = slices.Delete(b.sent, i, i+1)
		}
	case eventSample:
		sum := 0
		for _, n := range r.busy {
			sum += n
		}
		if sum > 0 {
			r.ratios += float64(slices.Max(r.busy)) * float64(len(r.busy)) / float64(sum)
			r.samples++
		}
		heap.Push(&r.events, event{at: e.at + fleetSample, kind: eventSample})
	}
}

// send sends a request to the gate that the chooser selects.
func (r *replay) send(now time.Duration, j *job) {
	for i := range r.views {
		b := &r.beliefs[j.node][i]
		v := View{Outstanding: b.outstanding, Age: now - b.takenAt, SinceSuccess: now - b.takenAt, Pace: b.pace, PaceAge: now - b.pacedAt, RoundTrip: fleetTrip}
		if b.known {
			v.Slots = r.slots
		}
		for _, at := range b.sent {
			if !b.known || at > b.takenAt-fleetTrip/2 {
				v.SentSince++
			}
		}
		v.Excluded = slices.Contains(j.tried, i)
		r.views[i] = v
	}
	truth := r.busy
	if r.shed > 0 {
		truth = make([]int, len(r.busy))
		for i := range truth {
			truth[i] = r.reported(i)
		}
	}
	i := r.choose(j.node, r.views, truth, r.random.Float64)
	if i < 0 || len(j.tried) >= fleetAttempts {
		r.missed++
		return
	}
	j.target, j.sentAt = i, now
	b := &r.beliefs[j.node][i]
	b.sent = append(b.sent, now)
	r.attempts++
	heap.Push(&r.events, event{at: now + fleetTrip/2, kind: eventAtTarget, job: j})
}

// arrive starts a request at its target, or refuses it.
func (r *replay) arrive(now time.Duration, j *job) {
	t := j.target
	r.sentTo[t]++
	r.longestGap = max(r.longestGap, now-r.lastAt[t])
	r.lastAt[t] = now
	if r.busy[t] < r.slots && !r.sheds(t) {
		r.busy[t]++
		work := time.Duration((0.5 + 0.5*r.random.ExpFloat64()) * r.paces[t] * float64(fleetWork))
		heap.Push(&r.events, event{at: now + work, kind: eventDone, job: j, work: work})
		return
	}
	r.refusals++
	if 2*slices.Min(r.busy) < r.slots {
		r.idleRefusals++
	}
	r.report(now, j, 0)
	j.tried = append(j.tried, t)
	r.send(now+fleetTrip/2, j)
}

// sheds reports whether a target refuses every request.
func (r *replay) sheds(target int) bool { return float64((target+5)%10) < 10*r.shed }

// reported returns the outstanding requests that a target's gate reports.
func (r *replay) reported(target int) int {
	if r.sheds(target) {
		return r.busy[target] + r.slots
	}
	return r.busy[target]
}

// report delivers the state of a target to a node.
func (r *replay) report(now time.Duration, j *job, work time.Duration) {
	heap.Push(&r.events, event{
		at: now + fleetTrip/2 + r.delay, kind: eventReport, node: j.node, target: j.target, sentAt: j.sentAt,
		outstanding: r.reported(j.target), takenAt: now, work: work,
	})
}

func (r *replay) result() fleetResult {
	slices.Sort(r.latencies)
	sum := 0
	for _, n := range r.sentTo {
		sum += n
	}
	return fleetResult{
		outstanding: r.ratios / r.samples,
		arrivals:    float64(slices.Max(r.sentTo)) * float64(r.targets) / float64(sum),
		refusedIdle: float64(r.idleRefusals) / float64(r.attempts),
		refused:     float64(r.refusals) / float64(r.attempts),
		p99:         r.latencies[len(r.latencies)*99/100],
		longestGap:  r.longestGap,
	}
}
