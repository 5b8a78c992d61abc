package target

import (
	"fmt"
	"time"
)

// Lines that an audit adds to the record of executions.
const (
	// OverLimitID is recorded for each request that arrives although the limit that the
	// target has named for some time is exceeded.
	OverLimitID = "over_limit"
	// AfterLeaveID is recorded for each request that arrives although the target has
	// named its leave for some time.
	AfterLeaveID = "after_leave"
	// CrashPrefix begins the line of a crash, before its time in Unix ms.
	CrashPrefix = "crash:"
)

const (
	// noticeGrace is how long after its first notice a target tolerates more.
	noticeGrace = 2 * time.Second
	// limitWindow is the span in which requests are counted, limitFactor and limitSlack
	// say how many may exceed the limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// noticeAudit checks that the limit and the leave that the target names are respected.
// Server.mu guards it.
type noticeAudit struct {
	limit     float64
	limitedAt time.Time
	leftAt    time.Time
	arrivals  []time.Time
}

// update starts the audit of notices that are new.
func (a *noticeAudit) update(f Faults) {
	now := time.Now()
	if f.Limit != a.limit {
		a.limit, a.limitedAt, a.arrivals = f.Limit, now, nil
	}
	if f.Leaving && a.leftAt.IsZero() {
		a.leftAt = now
	}
}

// arrive counts a request and returns the lines to record for it.
func (a *noticeAudit) arrive(now time.Time) (lines []string) {
	if !a.leftAt.IsZero() && now.Sub(a.leftAt) > noticeGrace {
		lines = append(lines, AfterLeaveID)
	}
	if a.limit == 0 || now.Sub(a.limitedAt) < noticeGrace {
		return lines
	}
	a.arrivals = append(a.arrivals, now)
	for now.Sub(a.arrivals[0]) > limitWindow {
		a.arrivals = a.arrivals[1:]
	}
	if float64(len(a.arrivals)) > limitFactor*a.limit*limitWindow.Seconds()+limitSlack {
		lines = append(lines, OverLimitID)
	}
	return lines
}

// auditArrival records a request that arrives in spite of a notice.
func (s *Server) auditArrival() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range s.notices.arrive(time.Now()) {
		fmt.Fprintln(s.executions, line)
	}
}

// RecordCrash records that a request crashes the target.
func (s *Server) RecordCrash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.executions, "%s%d\n", CrashPrefix, time.Now().UnixMilli())
}
