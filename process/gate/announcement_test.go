package gate

import (
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Messages of a target may arrive late or out of order. A late one must not make a
// gate send requests to a target that drains or has deregistered, nor close the
// gate of a newer incarnation. Announcements of another service or address are
// rejected.
func TestAnnouncementOrder(t *testing.T) {
	draining := func(a Announcement) Announcement { a.Draining = true; return a }
	announce := func(a Announcement) func(*Gate) error { return func(g *Gate) error { return g.Announce(a) } }
	deregister := func(d Deregistration) func(*Gate) error { return func(g *Gate) error { return g.Deregister(d) } }
	tests := []struct {
		name      string
		steps     []func(*Gate) error
		wantErr   error
		accepting bool
	}{
		{"none", nil, nil, false},
		{"ready", []func(*Gate) error{announce(announcement("i", 1, 1))}, nil, true},
		{"draining", []func(*Gate) error{announce(announcement("i", 1, 1)), announce(draining(announcement("i", 1, 2)))}, nil, false},
		{"delayed announcement after draining", []func(*Gate) error{announce(draining(announcement("i", 1, 2))), announce(announcement("i", 1, 1))}, ErrStale, false},
		{"draining does not end within an incarnation", []func(*Gate) error{announce(draining(announcement("i", 1, 2))), announce(announcement("i", 1, 3))}, nil, false},
		{"draining with a lower number than a known announcement", []func(*Gate) error{announce(announcement("i", 1, 1<<39)), announce(draining(announcement("i", 1, 7)))}, nil, false},
		{"left", []func(*Gate) error{announce(announcement("i", 1, 1)), deregister(Deregistration{Instance: "i", StartedAt: time.UnixMilli(1)})}, nil, false},
		{"delayed announcement after deregistration", []func(*Gate) error{announce(announcement("i", 1, 1)), deregister(Deregistration{Instance: "i"}), announce(announcement("i", 1, 2))}, ErrStale, false},
		{"deregistered twice", []func(*Gate) error{announce(announcement("i", 1, 1)), deregister(Deregistration{Instance: "i"}), deregister(Deregistration{Instance: "i"})}, nil, false},
		{"deregistered before the first announcement", []func(*Gate) error{deregister(Deregistration{Instance: "i", StartedAt: time.UnixMilli(5)}), announce(announcement("i", 5, 9))}, ErrStale, false},
		{"deregistered without a start time before the first announcement", []func(*Gate) error{deregister(Deregistration{Instance: "i"}), announce(announcement("i", 5, 9))}, ErrStale, false},
		{"next incarnation after that", []func(*Gate) error{deregister(Deregistration{Instance: "i"}), announce(announcement("j", 5, 1))}, nil, true},
		{"next incarnation", []func(*Gate) error{announce(announcement("i", 1, 9)), deregister(Deregistration{Instance: "i"}), announce(announcement("j", 2, 1))}, nil, true},
		{"next incarnation under the same name", []func(*Gate) error{announce(announcement("i", 1, 9)), deregister(Deregistration{Instance: "i"}), announce(announcement("i", 2, 1))}, nil, true},
		{"delayed announcement of an old incarnation", []func(*Gate) error{announce(announcement("j", 2, 1)), announce(draining(announcement("i", 1, 9)))}, ErrStale, true},
		{"delayed deregistration of an old incarnation", []func(*Gate) error{announce(announcement("j", 2, 1)), deregister(Deregistration{Instance: "i", StartedAt: time.UnixMilli(1)})}, ErrStale, true},
		{"deregistration of a newer incarnation before its first announcement", []func(*Gate) error{announce(announcement("i", 1, 1)), deregister(Deregistration{Instance: "j", StartedAt: time.UnixMilli(2)}), announce(announcement("j", 2, 1))}, ErrStale, false},
		{"the same under the same name", []func(*Gate) error{announce(announcement("i", 1, 1)), deregister(Deregistration{Instance: "i", StartedAt: time.UnixMilli(2)}), announce(announcement("i", 2, 1))}, ErrStale, false},
		{"the same without a start time", []func(*Gate) error{announce(announcement("i", 1, 1)), deregister(Deregistration{Instance: "j"}), announce(announcement("j", 2, 1))}, ErrStale, true},
		{"next incarnation after that one without a start time", []func(*Gate) error{announce(announcement("i", 1, 1)), deregister(Deregistration{Instance: "j"}), announce(announcement("k", 3, 1))}, nil, true},
		{"next incarnation after that one", []func(*Gate) error{announce(announcement("i", 1, 1)), deregister(Deregistration{Instance: "j", StartedAt: time.UnixMilli(2)}), announce(announcement("k", 3, 1))}, nil, true},
		{"another service", []func(*Gate) error{func(g *Gate) error {
			a := announcement("i", 1, 1)
			a.Service = "t"
			return g.Announce(a)
		}}, ErrWrongTarget, false},
		{"another address", []func(*Gate) error{func(g *Gate) error {
			a := announcement("i", 1, 1)
			a.Address = "10.0.0.2:80"
			return g.Announce(a)
		}}, ErrWrongTarget, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newGate()
			var err error
			for _, step := range test.steps {
				err = step(g)
			}
			is.True(errors.Is(err, test.wantErr))
			is.Equal(g.State().Accepting, test.accepting)
		})
	}
}

// A target that restarts after its clock has jumped back looks older than its
// previous incarnation and must not stay locked out. It is accepted once the other
// is silent and it keeps announcing itself; a single delayed message of a dead
// incarnation is not.
func TestIncarnationWithEarlierClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := openGate(t)
		old := announcement("j", 500, 1)
		is.True(errors.Is(g.Announce(old), ErrStale))
		time.Sleep(takeoverSilence)
		is.True(errors.Is(g.Announce(old), ErrStale)) // duplicate of the same message
		old.Sequence = 2
		is.NoErr(g.Announce(old))
		is.Equal(g.target.announced.Instance, "j")
	})
}

// An incarnation whose clock is behind and that has left must not be accepted later, by
// announcements from before its leave.
func TestDepartedIncarnationWithEarlierClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := openGate(t)
		is.True(errors.Is(g.Announce(announcement("j", 500, 1)), ErrStale))
		is.True(errors.Is(g.Deregister(Deregistration{Instance: "j", StartedAt: time.UnixMilli(500)}), ErrStale))
		time.Sleep(takeoverSilence)
		is.True(errors.Is(g.Announce(announcement("j", 500, 2)), ErrStale))
		is.Equal(g.target.announced.Instance, "i")
	})
}

// An announcement with the largest start time must not replace the sound target, whose
// work the gate refused for seconds.
func TestOddAnnouncementLeavesTheTarget(t *testing.T) {
	is := is.New(t)
	g := openGate(t)
	odd := announcement("j", math.MaxInt64, 1)
	var e *AnnouncementError
	is.True(errors.As(g.Announce(odd), &e))
	is.Equal(e.Field, "born")
	is.True(errors.As(g.Deregister(Deregistration{Instance: "j", StartedAt: odd.StartedAt}), &e))
	is.Equal(e.Field, "born")
	is.True(g.State().Accepting)
	is.Equal(g.target.announced.Instance, "i")
}

// Each invalid field of an announcement is rejected and named in the error.
func TestInvalidAnnouncementsAreRejected(t *testing.T) {
	tests := []struct {
		name  string
		edit  func(*Announcement)
		field string
	}{
		{"sound", func(*Announcement) {}, ""},
		{"no instance", func(a *Announcement) { a.Instance = "" }, "instance"},
		{"no service", func(a *Announcement) { a.Service = "" }, "service"},
		{"host name", func(a *Announcement) { a.Address = "localhost:1" }, "address"},
		{"no port", func(a *Announcement) { a.Address = "127.0.0.1" }, "address"},
		{"no slots", func(a *Announcement) { a.Slots = 0 }, "slots"},
		{"too many slots", func(a *Announcement) { a.Slots = maxSlots + 1 }, "slots"},
		{"no start time", func(a *Announcement) { a.StartedAt = time.Time{} }, "born"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := announcement("i", 1, 1)
			test.edit(&a)
			err := a.Validate(time.Now())
			if test.field == "" {
				is.NoErr(err)
				return
			}
			var e *AnnouncementError
			is.True(errors.As(err, &e))
			is.Equal(e.Field, test.field)
		})
	}
}

// A gate that has restarted must not open for an incarnation whose leave it confirmed
// before, whether it learns of that before or after a late announcement. It admits nothing
// until it has asked the others.
func TestRestartedGateLearnsDepartures(t *testing.T) {
	started := time.UnixMilli(5)
	tests := []struct {
		name    string
		learned uint64
		// arrivesFirst means that the late announcement arrives before the gate learns.
		arrivesFirst bool
		next         Announcement
	}{
		{"before the announcement", departureOf("i", started), false, announcement("j", 9, 1)},
		{"after the announcement", departureOf("i", started), true, announcement("j", 9, 1)},
		{"next incarnation under the same name", departureOf("i", started), false, announcement("i", 9, 1)},
		{"of an incarnation without a known start", departureOf("i", time.Time{}), false, announcement("j", 9, 1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newGate()
			g.isRecovering = true
			late := func() { _ = g.Announce(announcement("i", 5, 7)) } // a stale one is confirmed as well
			if test.arrivesFirst {
				late()
				is.True(!g.State().Accepting)
				_, problem := g.admit(t.Context(), requestWithin(0))
				is.Equal(problem.Code, outcome.CodeNoTarget)
			}
			g.LearnDepartures([]uint64{1, test.learned})
			g.EndRecovery()
			late()
			is.True(!g.State().Accepting)
			is.NoErr(g.Announce(test.next))
			is.True(g.State().Accepting)
			late()
			is.Equal(g.target.announced, test.next)
		})
	}
}

// The departures of a gate are those of its last incarnations, so that the list stays short
// however often targets are replaced.
func TestDeparturesAreBounded(t *testing.T) {
	is := is.New(t)
	g := newGate()
	for i := range int64(10) {
		is.NoErr(g.Announce(announcement("i", i+1, 1)))
		is.NoErr(g.Deregister(Deregistration{Instance: "i", StartedAt: time.UnixMilli(i + 1)}))
	}
	want := []uint64{}
	for i := 6; i < 10; i++ {
		want = append(want, departureOf("i", time.UnixMilli(int64(i+1))))
	}
	is.Equal(g.Departures(), want)
}

// A gate that recovers must report the nodes that query its state: while the store does not
// respond, it may know no other to ask.
func TestRecoveringGateReportsProbers(t *testing.T) {
	is := is.New(t)
	var reported []string
	g := newGate()
	g.isRecovering = true
	g.options.OnProbe = func(node string) { reported = append(reported, node) }
	probe := func(node string) {
		now, h := time.Now(), http.Header{}
		hopheader.Request{IsStateQuery: true, Node: node, Service: "s", SoftDeadline: now, Deadline: now, QueueDeadline: now}.Inject(h, now)
		is.Equal(g.Serve(t.Context(), &http1.IncomingRequest{Header: h, ReceivedAt: now}).Status, http.StatusNoContent)
	}
	probe("10.0.0.2:1")
	probe("10.0.0.2:70000") // no address
	probe("")
	g.EndRecovery()
	probe("10.0.0.3:1")
	is.Equal(reported, []string{"10.0.0.2:1"})
}
