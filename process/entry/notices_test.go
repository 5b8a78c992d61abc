package entry

import (
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/matryer/is"
)

// changingNodes is a node source whose records a test replaces.
type changingNodes struct {
	version uint64
	nodes   []membership.Record
}

func (c *changingNodes) Version() uint64            { return c.version }
func (c *changingNodes) Nodes() []membership.Record { return c.nodes }

// A gate that restarts gets a new record, and with it a new candidate. The limit that
// its target named must not be forgotten then.
func TestNoticesOutliveCandidates(t *testing.T) {
	is := is.New(t)
	record := membership.Record{ControlAddress: "10.0.0.1:1", GateAddress: "10.0.0.1:2", Service: "s", DataCentre: "d", Region: "r", Incarnation: 1}
	nodes := &changingNodes{version: 1, nodes: []membership.Record{record}}
	d := newDirectory(nodes, "d", "r", nil)
	defer d.close()
	before := d.candidates("s")[0]
	limit := hopheader.Notice{IsKnown: true, Incarnation: 7, HasLimit: true, Limit: 2}
	now := time.Now()
	before.updateState(hopheader.GateState{Notice: limit}, now)
	record.Incarnation = 2
	nodes.version, nodes.nodes = 2, []membership.Record{record}
	after := d.candidates("s")[0]
	is.True(after != before)
	is.Equal(after.notices.recall(after.address, now), limit)
}

func TestNoticesFollowTheGate(t *testing.T) {
	limit := hopheader.Notice{IsKnown: true, Incarnation: 7, HasLimit: true, Limit: 2}
	leave := hopheader.Notice{IsKnown: true, Incarnation: 7, Leaving: true}
	tests := []struct {
		name    string
		reports []hopheader.Notice
		after   time.Duration
		want    hopheader.Notice
	}{
		{"repeated", []hopheader.Notice{limit}, noticeTTL, limit},
		{"expired", []hopheader.Notice{limit}, noticeTTL + time.Second, hopheader.Notice{}},
		{"lifted", []hopheader.Notice{limit, {IsKnown: true}}, 0, hopheader.Notice{}},
		{"gate restarted", []hopheader.Notice{limit, {Incarnation: 7}}, 0, limit},
		{"gate knows no target yet", []hopheader.Notice{limit, {}}, 0, limit},
		{"target replaced", []hopheader.Notice{limit, {Incarnation: 8}}, 0, hopheader.Notice{}},
		{"older report after a leave", []hopheader.Notice{leave, {IsKnown: true}}, 0, leave},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := newNotices()
			now := time.Now()
			for _, r := range test.reports {
				b.record("g", r, now)
			}
			is.Equal(b.recall("g", now.Add(test.after)), test.want)
		})
	}
}

// Guards against memory that grows with the gates that ever named a limit.
func TestNoticesAreBounded(t *testing.T) {
	is := is.New(t)
	b := newNotices()
	now := time.Now()
	for i := range 2 * maxNotices {
		b.record(time.Duration(i).String(), hopheader.Notice{IsKnown: true, Leaving: true}, now)
	}
	is.True(len(b.byGate) <= maxNotices)
}
