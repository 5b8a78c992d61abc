package gate

import (
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/process/floor"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/hashicorp/go-hclog"
)

// BenchmarkAcquire takes and returns a slot of one of eight targets.
func BenchmarkAcquire(b *testing.B) {
	g := New(Options{
		Clock: time.Now, Logger: hclog.NewNullLogger(), Services: rules(configuration.Service{Name: "reparto"}),
		Siblings: fakeSiblings([]floor.Vouch{}), OnChange: func([]roster.Target) {},
	})
	for port := range 8 {
		err := g.Announce(Announcement{Service: "reparto", Address: "127.0.0.1:" + string(rune('1'+port)), Slots: 3, LeaseMillis: 10_000})
		if err != nil {
			b.Fatal(err)
		}
	}
	p := g.pool("reparto")
	a := Ask{Customer: "growers", Deadline: time.Now().Add(time.Hour), Idempotent: true}
	b.ReportAllocs()
	for b.Loop() {
		s, _, problem := p.Acquire(b.Context(), a)
		if problem != nil {
			b.Fatal(problem) // also when the announcements lapse in a long run
		}
		s.End(false)
	}
}
