package experiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// epoch is the start of virtual time. It is well after the start of the simulated
// processes, so that they may eject targets at once.
var epoch = time.Unix(1_000_000, 0)

// Simulation is a discrete-event simulation of one service, its targets and
// their callers in virtual time. It implements TargetState for its policy.
type Simulation struct {
	scenario          Scenario
	random            *rand.Rand
	policy            Policy
	now               time.Time
	events            eventHeap
	lastSequence      int64
	targets           []*simulatedTarget
	result            Result
	outOfServiceSince []time.Time
	retryBudget       float64
}

// simulatedTarget serves up to Scenario.Slots attempts at once and queues the
// others in order of arrival.
type simulatedTarget struct {
	// running and queue are in start order, so that equal seeds give equal runs.
	running []*attempt
	queue   []*attempt
	// pausedUntil is the end of the latest pause (Scenario.PauseEveryS).
	pausedUntil time.Time
	nextPauseAt time.Time
}

// attempt is one attempt to serve a request at a target.
type attempt struct {
	target    int
	requestID int64
	startedAt time.Time
	arrivedAt time.Time
	deadline  time.Time
	isRetry   bool
	ended     bool
}

// Result holds the measurements of one run.
type Result struct {
	// Offered is the number of requests that callers sent, without retries.
	Offered  int
	Answered int
	// Refused is the number of requests that the policy refused at once, or whose
	// retry it refused.
	Refused int
	// Failed is the number of requests that got an error or no response by
	// their deadline.
	Failed   int
	Attempts int
	// RequestsToFaulty is the number of requests that were started at a target
	// while it was faulty. Trials of ejected targets are not counted.
	RequestsToFaulty int
	// Episodes is the number of episodes: each fault, or each active span of an
	// intermittent one. Faults of the whole service do not count. DetectionS has
	// an entry for each: the seconds from its start to the last request, other
	// than trials, that was started at a faulty target during it.
	Episodes   int
	DetectionS []float64
	// Ejections counts all ejections, FalseEjections those of targets that were
	// not faulty then or shortly before.
	Ejections      int
	FalseEjections int
	// HealthyHours is the time, summed over the targets, that no fault covers.
	HealthyHours float64
	// FloorBreaches is the number of ejections after which less capacity than
	// the floor was in service.
	FloorBreaches int
	// RequestsToFaultyOverTime splits RequestsToFaulty into tenths of a second
	// since the start of the first fault.
	RequestsToFaultyOverTime []int
}

// Run simulates the scenario with a policy. Equal seeds give equal results.
func Run(s Scenario, f PolicyFactory, seed uint64) Result {
	sim := &Simulation{scenario: s, random: rand.New(rand.NewPCG(seed, 11)), now: epoch}
	for range s.Targets {
		t := &simulatedTarget{}
		t.nextPauseAt = sim.now.Add(sim.drawExponential(s.PauseEveryS))
		sim.targets = append(sim.targets, t)
	}
	sim.policy = f.New(s, sim, rand.New(rand.NewPCG(seed, 13)))
	sim.outOfServiceSince = make([]time.Time, s.Targets)
	sim.scheduleEpisodes()
	sim.schedule(sim.now, sim.handleArrival)
	sim.schedule(sim.now, sim.tick)
	end := epoch.Add(secondsToDuration(s.DurationS))
	for len(sim.events) > 0 && sim.events[0].at.Before(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	sim.result.HealthyHours = sim.healthyHours()
	return sim.result
}

// Outstanding returns the number of requests at a target, including queued ones.
func (s *Simulation) Outstanding(target int) int {
	t := s.targets[target]
	return len(t.running) + len(t.queue)
}

// Probe reports whether a target passes an active probe. Gray targets always do.
func (s *Simulation) Probe(int) bool { return true }

// handleArrival sends a new request and schedules the next arrival. Arrivals
// form a Poisson process. Each adds 0.1 to the retry budget, up to 20.
func (s *Simulation) handleArrival() {
	rate := s.scenario.RatePerTarget * float64(s.scenario.Targets)
	s.schedule(s.now.Add(s.drawExponential(1/rate)), s.handleArrival)
	s.result.Offered++
	s.retryBudget = math.Min(20, s.retryBudget+0.1)
	s.dispatch(&attempt{arrivedAt: s.now, deadline: s.now.Add(millisToDuration(s.scenario.TimeoutMS))})
}

// dispatch gives an attempt to the target that the policy chooses, or refuses it.
func (s *Simulation) dispatch(a *attempt) {
	target, ok := s.policy.Choose(s.now, a.deadline)
	if !ok {
		s.result.Refused++
		return
	}
	s.result.Attempts++
	outOfService := s.policy.IsOutOfService(target, s.now)
	a.target = target
	a.startedAt = s.now
	a.requestID = s.policy.RecordStart(target, s.now)
	s.recordFaultyStart(target, outOfService)
	s.schedule(a.deadline, func() { s.finish(a, true) })
	t := s.targets[target]
	if len(t.running) < s.scenario.Slots {
		s.start(t, a)
		return
	}
	t.queue = append(t.queue, a)
}

// start begins to serve an attempt and schedules its end.
func (s *Simulation) start(t *simulatedTarget, a *attempt) {
	t.running = append(t.running, a)
	fault, hasFault := s.scenario.activeFault(a.target, s.elapsedSeconds())
	workTime := s.drawWorkTime()
	failed := s.random.Float64() < s.scenario.HealthyFailShare
	if hasFault {
		switch fault.Kind {
		case FaultStall:
			return // dispatch has scheduled the end at the deadline
		case FaultSlow:
			workTime = time.Duration(float64(workTime) * fault.Factor)
		case FaultFail:
			failed = failed || s.random.Float64() < fault.Share
		}
	}
	if s.now.Before(t.pausedUntil) {
		workTime += t.pausedUntil.Sub(s.now)
	}
	s.schedule(s.now.Add(workTime), func() { s.finish(a, failed) })
}

// finish ends an attempt. A failed one is retried if its deadline has not passed.
func (s *Simulation) finish(a *attempt, failed bool) {
	if a.ended {
		return
	}
	late := !s.now.Before(a.deadline)
	s.removeAttempt(a)
	s.policy.RecordEnd(a.target, a.requestID, s.now, s.now.Sub(a.startedAt), failed || late)
	switch {
	case !failed && !late:
		s.result.Answered++
	case late || !s.retry(a):
		s.result.Failed++
	}
}

// retry sends a failed attempt once more, within the retry budget, and reports
// whether it did. The policy may choose the same target again.
func (s *Simulation) retry(a *attempt) bool {
	if a.isRetry || s.retryBudget < 1 {
		return false
	}
	s.retryBudget--
	s.dispatch(&attempt{arrivedAt: a.arrivedAt, deadline: a.deadline, isRetry: true})
	return true
}

// removeAttempt removes an attempt from its target and starts the next queued one.
func (s *Simulation) removeAttempt(a *attempt) {
	a.ended = true
	t := s.targets[a.target]
	t.running = remove(t.running, a)
	t.queue = remove(t.queue, a)
	if len(t.running) < s.scenario.Slots && len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		s.start(t, next)
	}
}

func remove(list []*attempt, removed *attempt) []*attempt {
	for i, a := range list {
		if a == removed {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func (s *Simulation) tick() {
	s.schedule(s.now.Add(tickInterval), s.tick)
	s.startPauses()
	for _, target := range s.policy.Tick(s.now) {
		s.recordEjection(target)
		s.failOver(target)
	}
}

// failOver ends the attempts at an ejected target as failed and retries them.
func (s *Simulation) failOver(target int) {
	t := s.targets[target]
	attempts := append(append([]*attempt(nil), t.queue...), t.running...)
	for _, a := range attempts {
		s.removeAttempt(a)
		s.policy.RecordEnd(a.target, a.requestID, s.now, s.now.Sub(a.startedAt), true)
		if !s.retry(a) {
			s.result.Failed++
		}
	}
}

// startPauses pauses the targets whose next pause is due, as garbage collection
// does.
func (s *Simulation) startPauses() {
	if s.scenario.PauseEveryS <= 0 {
		return
	}
	for _, t := range s.targets {
		if s.now.Before(t.nextPauseAt) {
			continue
		}
		duration := millisToDuration(s.scenario.PauseMS * (0.5 + s.random.Float64()))
		t.pausedUntil = s.now.Add(duration)
		t.nextPauseAt = s.now.Add(s.drawExponential(s.scenario.PauseEveryS))
		s.extendRunning(t, duration)
	}
}

// extendRunning makes the attempts in progress end after the pause. It replaces
// each by a copy, so that the end that was scheduled for it has no effect. A copy
// fails only by its deadline.
func (s *Simulation) extendRunning(t *simulatedTarget, duration time.Duration) {
	for i, a := range t.running {
		resumed := *a
		a.ended = true
		moved := &resumed
		t.running[i] = moved
		s.schedule(moved.deadline, func() { s.finish(moved, true) })
		s.schedule(s.now.Add(duration+s.drawWorkTime()/2), func() { s.finish(moved, false) })
	}
}

// recordFaultyStart counts a request that is started at a target if the target is
// faulty and in service.
func (s *Simulation) recordFaultyStart(target int, outOfService bool) {
	fault, hasFault := s.scenario.activeFault(target, s.elapsedSeconds())
	if !hasFault || fault.ServiceWide || outOfService {
		return
	}
	s.result.RequestsToFaulty++
	since := s.elapsedSeconds() - s.scenario.Faults[0].StartS
	bucket := int(since * 10)
	for len(s.result.RequestsToFaultyOverTime) <= bucket {
		s.result.RequestsToFaultyOverTime = append(s.result.RequestsToFaultyOverTime, 0)
	}
	s.result.RequestsToFaultyOverTime[bucket]++
	if n := len(s.result.DetectionS); n > 0 {
		s.result.DetectionS[n-1] = s.elapsedSeconds() - s.episodeStart(fault)
	}
}

// episodeStart returns the start of the fault's current episode.
func (s *Simulation) episodeStart(f Fault) float64 {
	period := f.ActiveS + f.InactiveS
	if period <= 0 {
		return f.StartS
	}
	return f.StartS + period*math.Floor((s.elapsedSeconds()-f.StartS)/period)
}

// scheduleEpisodes adds an entry to Result.DetectionS at the start of each episode.
func (s *Simulation) scheduleEpisodes() {
	for _, f := range s.scenario.Faults {
		if f.ServiceWide {
			continue
		}
		period := f.ActiveS + f.InactiveS
		for at := f.StartS; at < f.StartS+f.DurationS && at < s.scenario.DurationS; at += math.Max(period, f.DurationS*boolToFloat(period <= 0)) {
			s.schedule(epoch.Add(secondsToDuration(at)), func() {
				s.result.Episodes++
				s.result.DetectionS = append(s.result.DetectionS, 0)
			})
		}
	}
}

// recordEjection counts an ejection and checks whether it was false and whether
// it broke the floor.
func (s *Simulation) recordEjection(target int) {
	s.result.Ejections++
	fault, hasFault := s.scenario.activeFault(target, s.elapsedSeconds())
	if !s.wasRecentlyFaulty(target) && (!hasFault || fault.ServiceWide) {
		s.result.FalseEjections++
	}
	serving := 0
	for i := range s.targets {
		if !s.policy.IsOutOfService(i, s.now) {
			serving += s.scenario.Slots
		}
	}
	if serving < s.scenario.FloorSlots {
		s.result.FloorBreaches++
	}
}

// wasRecentlyFaulty reports whether the target was faulty half a timeout or a
// whole timeout ago. Requests that stalled in an episode still occupy the target
// for as long after it, so an ejection then is not false.
func (s *Simulation) wasRecentlyFaulty(target int) bool {
	for _, share := range []float64{0.5, 1} {
		fault, hasFault := s.scenario.activeFault(target, s.elapsedSeconds()-share*s.scenario.TimeoutMS/1000)
		if hasFault && !fault.ServiceWide {
			return true
		}
	}
	return false
}

// healthyHours returns Result.HealthyHours. It takes an intermittent fault as
// active all the time.
func (s *Simulation) healthyHours() float64 {
	hours := s.scenario.DurationS * float64(s.scenario.Targets) / 3600
	for _, f := range s.scenario.Faults {
		if !f.ServiceWide {
			hours -= f.DurationS * float64(len(f.Targets)) / 3600
		}
	}
	return hours
}

// drawWorkTime returns a log-normal time that a healthy target takes for a request.
func (s *Simulation) drawWorkTime() time.Duration {
	return millisToDuration(s.scenario.WorkMedianMS * math.Exp(s.scenario.WorkSigma*s.random.NormFloat64()))
}

// drawExponential returns an exponentially distributed time.
func (s *Simulation) drawExponential(meanS float64) time.Duration {
	return secondsToDuration(s.random.ExpFloat64() * meanS)
}

// elapsedSeconds returns the virtual time since the start of the run.
func (s *Simulation) elapsedSeconds() float64 { return s.now.Sub(epoch).Seconds() }

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millisToDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// event is a function to run at a time of the simulation. Events of equal times
// run in the order of their sequence numbers.
type event struct {
	at       time.Time
	sequence int64
	run      func()
}

func (s *Simulation) schedule(t time.Time, run func()) {
	s.lastSequence++
	heap.Push(&s.events, event{at: t, sequence: s.lastSequence, run: run})
}

// eventHeap implements heap.Interface. Its first event is the next to run.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
