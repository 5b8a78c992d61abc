package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/caller"
	"github.com/cuminwheel/cuminwheel/standin/target"
)

const (
	// crashInterval is the time between two requests that crash targets, and
	// targetRestartDelay the time until a crashed target is back.
	crashInterval      = 200 * time.Millisecond
	targetRestartDelay = 500 * time.Millisecond
	// spreadTime is how long after the third crash under a request it may still be sent
	// to targets, and maxLateCrashes how many may crash later. A node without a fault
	// for as long is in touch.
	spreadTime     = 4 * time.Second
	maxLateCrashes = 3
	crashThreshold = 3
)

// affectsNode reports whether a fault keeps a node from hearing of others or makes it
// forget.
func (e event) affectsNode(node int) bool {
	if e.kind == faultKillAll {
		return true
	}
	return node == e.node && slices.Contains([]string{faultKill, faultKillAfterLeave, faultTerminate, faultPause, faultLink, faultReset}, e.kind)
}

// recordFault records that the node of an event is out of touch, or that the store delays
// configurations, if the event does that. It returns a function that records the end.
func (f *fleet) recordFault(e event) func() {
	start := time.Now()
	var faults []*[]interval
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.kind == faultSilence {
		// It affects all nodes at this moment only: new connections work.
		for i := range f.lastFault {
			f.lastFault[i] = start
			f.history.nodeFaults[i] = append(f.history.nodeFaults[i], interval{start, start})
		}
	}
	for i := range f.lastFault {
		if e.affectsNode(i) {
			f.lastFault[i] = start
			faults = append(faults, &f.history.nodeFaults[i])
		}
	}
	if e.kind == faultStore || e.kind == faultRevert {
		faults = append(faults, &f.history.storeFaults)
	}
	indexes := make([]int, len(faults))
	for k, list := range faults {
		indexes[k] = len(*list)
		*list = append(*list, interval{start: start})
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for k, list := range faults {
			(*list)[indexes[k]].end = time.Now()
		}
		for i := range f.lastFault {
			if e.affectsNode(i) {
				f.lastFault[i] = time.Now()
			}
		}
	}
}

// nodesInTouch returns the nodes without a fault for spreadTime.
func (f *fleet) nodesInTouch() (nodes []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, at := range f.lastFault {
		if time.Since(at) > spreadTime {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

// sendCrashingRequests sends the same request, which crashes targets, to random nodes
// that are in touch, and restarts the targets that have crashed.
func (f *fleet) sendCrashingRequests(ctx context.Context, duration time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(crashInterval) {
		nodes := f.nodesInTouch()
		if len(nodes) == 0 {
			continue
		}
		node := nodes[rand.IntN(len(nodes))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, callerTimeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address(node, portEntry)+"/board"+target.CrashPath, nil)
			if err != nil {
				return
			}
			req.Host = "roster.example"
			if hasCustomers(f.options.Seed) {
				caller.SetKey(req.Header, crashKey)
			}
			if res, err := http.DefaultClient.Do(req); err == nil {
				res.Body.Close()
			}
			time.Sleep(targetRestartDelay)
			for _, p := range f.targets {
				f.restartIfExited(p)
			}
		}()
	}
}

// checkNotices records a violation for requests that reached targets in spite of what
// these had named, and for a request that went on crashing them. Nodes that restart, are
// paused or are cut off are excused: each such fault of a schedule allows a few more.
func (f *fleet) checkNotices(events []event, executions map[string]int) {
	if n := executions[target.OverLimitID]; n > 0 {
		f.recordViolation("requests beyond a target's limit: %d", n)
	}
	restarts := 0
	for _, e := range events {
		switch e.kind {
		case faultKill, faultTerminate, faultKillAll:
			restarts++
		}
	}
	if n := executions[target.AfterLeaveID]; n > maxPerRestart*restarts {
		f.recordViolation("requests at targets that had named their leave: %d after %d restarts", n, restarts)
	}
	if n := countLateCrashes(executions); n > maxLateCrashes {
		f.recordViolation("targets crashed late under a request: %d", n)
	}
}

// maxPerRestart is how many requests a gate that has restarted may send to its target
// before it learns again what that has named, one for each slot.
const maxPerRestart = 3

// countLateCrashes returns the number of crashes later than spreadTime after the third.
func countLateCrashes(executions map[string]int) (n int) {
	var times []int64
	for line := range executions {
		if text, ok := strings.CutPrefix(line, target.CrashPrefix); ok {
			if millis, err := strconv.ParseInt(text, 10, 64); err == nil {
				times = append(times, millis)
			}
		}
	}
	slices.Sort(times)
	for i, at := range times {
		if i >= crashThreshold && at-times[crashThreshold-1] > spreadTime.Milliseconds() {
			n++
		}
	}
	return n
}
