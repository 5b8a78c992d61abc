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
	limit float64
	// limitedAt and leftAt are when the first complete response with the limit and with
	// the leave was sent; zero if none was.
	limitedAt time.Time
	leftAt    time.Time
	arrivals  []time.Time
}

// update ends the audit of a limit that is replaced.
func (a *noticeAudit) update(limit float64) {
	if limit != a.limit {
		a.limit, a.limitedAt, a.arrivals = limit, time.Time{}, nil
	}
}

// recordSent starts the audit of the notices that a complete response has carried.
func (a *noticeAudit) recordSent(f Faults, now time.Time) {
	if f.Limit > 0 && f.Limit == a.limit && a.limitedAt.IsZero() {
		a.limitedAt = now
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
	if a.limitedAt.IsZero() || now.Sub(a.limitedAt) < noticeGrace {
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

// recordNoticesSent records that a complete response has carried the notices of f.
func (s *Server) recordNoticesSent(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices.recordSent(f, time.Now())
}

// RecordCrash records that a request crashes the target.
func (s *Server) RecordCrash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.executions, "%s%d\n", CrashPrefix, time.Now().UnixMilli())
}
