package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func TestAnnouncements(t *testing.T) {
	draining := func(a Announcement) Announcement { a.Draining = true; return a }
	announce := func(a Announcement) func(*Gate) error { return func(g *Gate) error { return g.Announce(a) } }
	leave := func(f Deregistration) func(*Gate) error { return func(g *Gate) error { return g.Deregister(f) } }
	tests := []struct {
		name  string
		steps []func(*Gate) error
		last  error
		open  bool
	}{
		{"none", nil, nil, false},
		{"ready", []func(*Gate) error{announce(announcement("i", 1, 1))}, nil, true},
		{"draining", []func(*Gate) error{announce(announcement("i", 1, 1)), announce(draining(announcement("i", 1, 2)))}, nil, false},
		{"a late one after draining", []func(*Gate) error{announce(draining(announcement("i", 1, 2))), announce(announcement("i", 1, 1))}, ErrStale, false},
		{"draining does not end", []func(*Gate) error{announce(draining(announcement("i", 1, 2))), announce(announcement("i", 1, 3))}, nil, false},
		{"left", []func(*Gate) error{announce(announcement("i", 1, 1)), leave(Deregistration{Instance: "i", StartedAt: time.UnixMilli(1)})}, nil, false},
		{"a late one after leaving", []func(*Gate) error{announce(announcement("i", 1, 1)), leave(Deregistration{Instance: "i"}), announce(announcement("i", 1, 2))}, ErrStale, false},
		{"leaving twice", []func(*Gate) error{announce(announcement("i", 1, 1)), leave(Deregistration{Instance: "i"}), leave(Deregistration{Instance: "i"})}, nil, false},
		{"leaving before the first one", []func(*Gate) error{leave(Deregistration{Instance: "i", StartedAt: time.UnixMilli(5)}), announce(announcement("i", 5, 9))}, ErrStale, false},
		{"leaving without a birth, before the first one", []func(*Gate) error{leave(Deregistration{Instance: "i"}), announce(announcement("i", 5, 9))}, ErrStale, false},
		{"the next start after that", []func(*Gate) error{leave(Deregistration{Instance: "i"}), announce(announcement("j", 5, 1))}, nil, true},
		{"the next start", []func(*Gate) error{announce(announcement("i", 1, 9)), leave(Deregistration{Instance: "i"}), announce(announcement("j", 2, 1))}, nil, true},
		{"the next start under the same name", []func(*Gate) error{announce(announcement("i", 1, 9)), leave(Deregistration{Instance: "i"}), announce(announcement("i", 2, 1))}, nil, true},
		{"an old start comes late", []func(*Gate) error{announce(announcement("j", 2, 1)), announce(draining(announcement("i", 1, 9)))}, ErrStale, true},
		{"an old start leaves late", []func(*Gate) error{announce(announcement("j", 2, 1)), leave(Deregistration{Instance: "i", StartedAt: time.UnixMilli(1)})}, ErrStale, true},
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
			is.True(errors.Is(err, test.last))
			is.Equal(g.State().Accepting, test.open)
		})
	}
}

// A clock that jumps back makes a new start look old. It is believed once the
// other one is silent and it goes on announcing itself; one late message of a
// dead start is not.
func TestIncarnationWithEarlierClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := openGate(t)
		old := announcement("j", 500, 1)
		is.True(errors.Is(g.Announce(old), ErrStale))
		time.Sleep(takeoverSilence)
		is.True(errors.Is(g.Announce(old), ErrStale)) // the same message again
		old.Sequence = 2
		is.NoErr(g.Announce(old))
		is.Equal(g.target.announced.Instance, "j")
	})
}

func TestAnnouncementCheck(t *testing.T) {
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
		{"no start", func(a *Announcement) { a.StartedAt = time.Time{} }, "born"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := announcement("i", 1, 1)
			test.edit(&a)
			err := a.Validate()
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
