package experiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// epoch is the start of virtual time. It lies a while after the start of the
// fakes' processes, so that they may eject at once.
var epoch = time.Unix(1_000_000, 0)

// Simulation runs a policy on a scenario.
type Simulation struct {
	scenario Scenario
	random   *rand.Rand
	policy   Policy
	now      time.Time
	events   eventHeap
	order    int64
	targets  []*fakeTarget
	result   Result
	outSince []time.Time
	retries  float64
}

// fakeTarget works on a few requests at once and queues the rest.
type fakeTarget struct {
	// running and queue are in the order of their beginning, so that equal
	// seeds give equal runs.
	running []*job
	queue   []*job
	// pausedUntil is the end of a pause of a healthy target.
	pausedUntil time.Time
	nextPause   time.Time
}

// job is one attempt at a request.
type job struct {
	target   int
	work     int64
	began    time.Time
	arrived  time.Time
	deadline time.Time
	retried  bool
	done     bool
}

// Result is what one run measured.
type Result struct {
	Offered  int
	Answered int
	// Refused were not run and told so at once.
	Refused int
	// Failed got an error or no answer by their deadline.
	Failed   int
	Attempts int
	// RequestsToFaulty are requests begun at a target while it was sick, trials of
	// ejected targets not counted.
	RequestsToFaulty int
	// Episodes are the sick episodes; DetectionS is, for each, the time from its
	// onset to the last request that began there in it, in s.
	Episodes   int
	DetectionS []float64
	// Ejections and FalseEjections count targets taken out, and of those the
	// healthy.
	Ejections      int
	FalseEjections int
	HealthyHours   float64
	// FloorBreaches are ejections that left less than the floor in service.
	FloorBreaches int
	// RequestsToFaultyOverTime counts, in tenths of a second since the first onset, the
	// requests begun at sick targets.
	RequestsToFaultyOverTime []int
}

// Run runs the policy on the scenario with a seed.
func Run(s Scenario, m PolicyFactory, seed uint64) Result {
	w := &Simulation{scenario: s, random: rand.New(rand.NewPCG(seed, 11)), now: epoch}
	for range s.Targets {
		t := &fakeTarget{}
		t.nextPause = w.now.Add(w.exponential(s.PauseEveryS))
		w.targets = append(w.targets, t)
	}
	w.policy = m.New(s, w, rand.New(rand.NewPCG(seed, 13)))
	w.outSince = make([]time.Time, s.Targets)
	w.scheduleOnsets()
	w.at(w.now, w.arrive)
	w.at(w.now, w.tick)
	end := epoch.Add(seconds(s.DurationS))
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.result.HealthyHours = w.healthyHours()
	return w.result
}

// Outstanding is the number of requests at a target.
func (w *Simulation) Outstanding(target int) int {
	t := w.targets[target]
	return len(t.running) + len(t.queue)
}

// Probe reports whether a target answers an active probe.
func (w *Simulation) Probe(int) bool { return true }

func (w *Simulation) arrive() {
	rate := w.scenario.RatePerTarget * float64(w.scenario.Targets)
	w.at(w.now.Add(w.exponential(1/rate)), w.arrive)
	w.result.Offered++
	w.retries = math.Min(20, w.retries+0.1)
	w.send(&job{arrived: w.now, deadline: w.now.Add(millis(w.scenario.TimeoutMS))})
}

// send gives a request to a target or refuses it.
func (w *Simulation) send(j *job) {
	target, ok := w.policy.Choose(w.now, j.deadline)
	if !ok {
		w.result.Refused++
		return
	}
	w.result.Attempts++
	out := w.policy.IsOutOfService(target, w.now)
	j.target = target
	j.began = w.now
	j.work = w.policy.RecordStart(target, w.now)
	w.noteSickWork(target, out)
	w.at(j.deadline, func() { w.end(j, true) })
	t := w.targets[target]
	if len(t.running) < w.scenario.Slots {
		w.start(t, j)
		return
	}
	t.queue = append(t.queue, j)
}

func (w *Simulation) start(t *fakeTarget, j *job) {
	t.running = append(t.running, j)
	fault, sick := w.scenario.at(j.target, w.seconds())
	took := w.workTime()
	failed := w.random.Float64() < w.scenario.HealthyFailShare
	if sick {
		switch fault.Kind {
		case FaultStall:
			return // It ends with its deadline.
		case FaultSlow:
			took = time.Duration(float64(took) * fault.Factor)
		case FaultFail:
			failed = failed || w.random.Float64() < fault.Share
		}
	}
	if w.now.Before(t.pausedUntil) {
		took += t.pausedUntil.Sub(w.now)
	}
	w.at(w.now.Add(took), func() { w.end(j, failed) })
}

// end ends an attempt and sends a failed one elsewhere once, within a budget.
func (w *Simulation) end(j *job, failed bool) {
	if j.done {
		return
	}
	late := !w.now.Before(j.deadline)
	w.leave(j)
	w.policy.RecordEnd(j.target, j.work, w.now, w.now.Sub(j.began), failed || late)
	switch {
	case !failed && !late:
		w.result.Answered++
	case late || !w.retry(j):
		w.result.Failed++
	}
}

func (w *Simulation) retry(j *job) bool {
	if j.retried || w.retries < 1 {
		return false
	}
	w.retries--
	w.send(&job{arrived: j.arrived, deadline: j.deadline, retried: true})
	return true
}

// leave takes a job from its target and starts the next one there.
func (w *Simulation) leave(j *job) {
	j.done = true
	t := w.targets[j.target]
	t.running = without(t.running, j)
	t.queue = without(t.queue, j)
	if len(t.running) < w.scenario.Slots && len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		w.start(t, next)
	}
}

func without(list []*job, gone *job) []*job {
	for i, j := range list {
		if j == gone {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func (w *Simulation) tick() {
	w.at(w.now.Add(tickInterval), w.tick)
	w.pause()
	for _, target := range w.policy.Tick(w.now) {
		w.noteEjection(target)
		w.moveAway(target)
	}
}

// moveAway sends the requests at an ejected target elsewhere.
func (w *Simulation) moveAway(target int) {
	t := w.targets[target]
	jobs := append(append([]*job(nil), t.queue...), t.running...)
	for _, j := range jobs {
		w.leave(j)
		w.policy.RecordEnd(j.target, j.work, w.now, w.now.Sub(j.began), true)
		if !w.retry(j) {
			w.result.Failed++
		}
	}
}

// pause stops healthy targets now and then.
func (w *Simulation) pause() {
	if w.scenario.PauseEveryS <= 0 {
		return
	}
	for _, t := range w.targets {
		if w.now.Before(t.nextPause) {
			continue
		}
		length := millis(w.scenario.PauseMS * (0.5 + w.random.Float64()))
		t.pausedUntil = w.now.Add(length)
		t.nextPause = w.now.Add(w.exponential(w.scenario.PauseEveryS))
		w.delayRunning(t, length)
	}
}

// delayRunning makes the requests in progress last longer by the pause.
func (w *Simulation) delayRunning(t *fakeTarget, length time.Duration) {
	for i, j := range t.running {
		fresh := *j
		j.done = true
		moved := &fresh
		t.running[i] = moved
		w.at(moved.deadline, func() { w.end(moved, true) })
		w.at(w.now.Add(length+w.workTime()/2), func() { w.end(moved, false) })
	}
}

func (w *Simulation) noteSickWork(target int, out bool) {
	fault, sick := w.scenario.at(target, w.seconds())
	if !sick || fault.ServiceWide || out {
		return
	}
	w.result.RequestsToFaulty++
	since := w.seconds() - w.scenario.Faults[0].StartS
	slot := int(since * 10)
	for len(w.result.RequestsToFaultyOverTime) <= slot {
		w.result.RequestsToFaultyOverTime = append(w.result.RequestsToFaultyOverTime, 0)
	}
	w.result.RequestsToFaultyOverTime[slot]++
	if n := len(w.result.DetectionS); n > 0 {
		w.result.DetectionS[n-1] = w.seconds() - w.onset(fault)
	}
}

// onset returns the start of the fault's present episode.
func (w *Simulation) onset(f Fault) float64 {
	cycle := f.ActiveS + f.InactiveS
	if cycle <= 0 {
		return f.StartS
	}
	return f.StartS + cycle*math.Floor((w.seconds()-f.StartS)/cycle)
}

// scheduleOnsets opens a new entry of DetectionS at each onset.
func (w *Simulation) scheduleOnsets() {
	for _, f := range w.scenario.Faults {
		if f.ServiceWide {
			continue
		}
		cycle := f.ActiveS + f.InactiveS
		for at := f.StartS; at < f.StartS+f.DurationS && at < w.scenario.DurationS; at += math.Max(cycle, f.DurationS*boolFloat(cycle <= 0)) {
			w.at(epoch.Add(seconds(at)), func() {
				w.result.Episodes++
				w.result.DetectionS = append(w.result.DetectionS, 0)
			})
		}
	}
}

func (w *Simulation) noteEjection(target int) {
	w.result.Ejections++
	fault, sick := w.scenario.at(target, w.seconds())
	if !w.isRecentlySick(target) && (!sick || fault.ServiceWide) {
		w.result.FalseEjections++
	}
	serving := 0
	for i := range w.targets {
		if !w.policy.IsOutOfService(i, w.now) {
			serving += w.scenario.Slots
		}
	}
	if serving < w.scenario.FloorSlots {
		w.result.FloorBreaches++
	}
}

// isRecentlySick allows an ejection after an episode has ended for as long as
// requests that stalled in it occupy the target.
func (w *Simulation) isRecentlySick(target int) bool {
	for _, ago := range []float64{0.5, 1} {
		fault, sick := w.scenario.at(target, w.seconds()-ago*w.scenario.TimeoutMS/1000)
		if sick && !fault.ServiceWide {
			return true
		}
	}
	return false
}

func (w *Simulation) healthyHours() float64 {
	hours := w.scenario.DurationS * float64(w.scenario.Targets) / 3600
	for _, f := range w.scenario.Faults {
		if !f.ServiceWide {
			hours -= f.DurationS * float64(len(f.Targets)) / 3600
		}
	}
	return hours
}

func (w *Simulation) workTime() time.Duration {
	return millis(w.scenario.WorkMedianMS * math.Exp(w.scenario.WorkSigma*w.random.NormFloat64()))
}

func (w *Simulation) exponential(meanS float64) time.Duration {
	return seconds(w.random.ExpFloat64() * meanS)
}

func (w *Simulation) seconds() float64 { return w.now.Sub(epoch).Seconds() }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func boolFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// event is something that happens at a time; order keeps equal times apart.
type event struct {
	at    time.Time
	order int64
	do    func()
}

func (w *Simulation) at(t time.Time, do func()) {
	w.order++
	heap.Push(&w.events, event{at: t, order: w.order, do: do})
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
