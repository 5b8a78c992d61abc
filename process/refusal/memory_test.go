package refusal

import (
	"fmt"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/matryer/is"
)

func refuse(m *Memory, request int, at time.Duration) {
	m.RecordRefusal(Refusal{
		Request: fingerprint.Fingerprint(request), Route: 1, Code: outcome.CodeTargetFull, RetryAt: start.Add(at + 300*ms),
		Deadline: start.Add(at + 2*time.Second), SoftDeadline: start.Add(at + 600*ms),
	}, start.Add(at))
}

// Guards against holding requests of callers that return, and against refusing calls of
// targets at once for ever.
func TestCallersRetry(t *testing.T) {
	type event struct {
		at      time.Duration
		request int
		returns bool
	}
	tests := []struct {
		name    string
		events  []event
		at      time.Duration
		assumed Assumption
		want    bool
	}{
		{"nothing known, assumed", nil, 0, AssumeUnknown, true},
		{"nothing known, not assumed", nil, 0, AssumePublic, false},
		{"one return", []event{{0, 1, false}, {400 * ms, 1, true}}, 500 * ms, AssumePublic, true},
		{"an early return", []event{{0, 1, false}, {ms, 1, true}}, 2 * ms, AssumePublic, true},
		{"one did not return", []event{{0, 1, false}}, 4 * time.Second, AssumeUnknown, true},
		{"two did not return", []event{{0, 1, false}, {ms, 2, false}}, 4 * time.Second, AssumeUnknown, false},
		{"two did not return, with a key", []event{{0, 1, false}, {ms, 2, false}}, 4 * time.Second, AssumeKey, true},
		{"two have not returned yet", []event{{0, 1, false}, {ms, 2, false}}, 2 * time.Second, AssumeUnknown, true},
		{"half of the requests return", []event{{0, 1, false}, {0, 2, false}, {0, 3, false}, {0, 4, false}, {350 * ms, 1, true}, {350 * ms, 2, true}}, 4 * time.Second, AssumePublic, true},
		{"the caller returns twice and gives up", []event{{0, 1, false}, {350 * ms, 1, true}, {350 * ms, 1, false}, {700 * ms, 1, true}, {700 * ms, 1, false}}, 8 * time.Second, AssumePublic, true},
		{"the evidence is old", []event{{0, 1, false}, {ms, 2, false}}, evidenceTTL + 8*time.Second, AssumeUnknown, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMemory()
			for _, e := range test.events {
				if e.returns {
					_, ok := m.Recall(fingerprint.Fingerprint(e.request), start.Add(e.at))
					is.True(ok)
					continue
				}
				refuse(m, e.request, e.at)
			}
			m.expire(start.Add(min(test.at, 8*time.Second)))
			is.Equal(m.CallersRetry(1, test.assumed, start.Add(test.at)), test.want)
		})
	}
}

// One identical pair among many different requests must not end the holding of a route.
func TestChanceReturnIsNotEvidence(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	for i := range 40 {
		refuse(m, i, time.Duration(i)*ms)
	}
	m.Recall(7, start.Add(50*ms))
	is.True(!m.CallersRetry(1, AssumeKey, start.Add(4*time.Second)))
}

// A refusal after which no return could be served says nothing about the callers.
func TestHopelessRefusalIsNotEvidence(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	for i := range 5 {
		m.RecordRefusal(Refusal{Request: fingerprint.Fingerprint(i), Route: 1, RetryAt: start.Add(300 * ms), Deadline: start.Add(200 * ms)}, start)
	}
	is.True(m.CallersRetry(1, AssumeUnknown, start.Add(4*time.Second)))
}

// A request that is refused again keeps the soft deadline of its first attempt. A served
// one is forgotten, so that the same request later counts as new.
func TestRecallKeepsSoftDeadline(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	refuse(m, 1, 0)
	refuse(m, 1, 400*ms)
	f, ok := m.Recall(1, start.Add(800*ms))
	is.True(ok)
	is.Equal(f.SoftDeadline, start.Add(600*ms))
	is.Equal(f.RetryAt, start.Add(700*ms))
	m.Forget(1)
	_, ok = m.Recall(1, start.Add(900*ms))
	is.True(!ok)
}

// A request that many callers send alike, such as a status query, must not be refused
// without an attempt on account of the first one for long.
func TestCommonRequestIsNotAReturn(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	refuse(m, 1, 0)
	early := 0
	for i := range 100 {
		if _, ok := m.Recall(1, start.Add(time.Duration(i)*ms)); ok {
			early++
		}
	}
	is.Equal(early, maxEarlyReturns)
}

// Guards against memory that grows with the number of requests or routes.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	for i := range 3 * maxRecords {
		m.RecordRefusal(Refusal{Request: fingerprint.Fingerprint(i), Route: RouteKey(i), RetryAt: start.Add(300 * ms), Deadline: start.Add(time.Second)}, start)
		m.Label(fmt.Sprint(i))
	}
	is.Equal(len(m.records), maxRecords)
	is.Equal(m.order.Len(), maxRecords)
	is.Equal(len(m.routes), maxRoutes)
	is.Equal(len(m.labels), maxLabels)
	is.Equal(m.Label("0"), "0")
	is.Equal(m.Label("new"), "other")
	m.expire(start.Add(recordTTL))
	is.Equal(len(m.records), 0)
	is.Equal(m.order.Len(), 0)
}

// Requests that are refused at the same moment must not return at the same moment. The
// fewer requests are served, the further their returns are apart.
func TestTurnSpreadsReturns(t *testing.T) {
	tests := []struct {
		name   string
		served int
		gap    time.Duration
	}{
		{"nothing served", 0, 100 * ms},
		{"50 a second", 100, 20 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMemory()
			for range test.served {
				m.RecordServed(1, 90*ms, start)
			}
			refuse(m, 1, 0)
			is.Equal(m.Turn(1, start).Sub(start), 300*ms+test.gap)
			is.Equal(m.Turn(2, start), start) // routes do not share turns
		})
	}
}

// The measured duration follows the requests, so that the entry stops holding in time.
func TestWork(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	is.Equal(m.Work(1, start), time.Duration(0))
	m.RecordServed(1, 100*ms, start)
	m.RecordServed(1, 200*ms, start)
	is.Equal(m.Work(1, start), 110*ms)
}
