package soak

import (
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/caller"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// moment returns a time some seconds into a run.
func moment(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// publicationOf returns a publication with one customer that is stored in 0.1 s.
func publicationOf(begun, rate float64, keys ...string) publication {
	return publication{moment(begun), moment(begun + 0.1), []configuration.DraftCustomer{{Name: "c", Keys: keys, RequestsPerSecond: rate, Burst: rate}}}
}

// Guards against an audit that overlooks a removed key that still runs or a valid key that
// is refused, and against one that accuses nodes that cannot know better yet.
func TestCountKeyViolations(t *testing.T) {
	tests := []struct {
		name                  string
		nodeFault, storeFault interval
		key                   string
		at                    float64
		ran, unauthorized     int
	}{
		{"removed key, within the apply time", interval{}, interval{}, "old", 12, 0, 0},
		{"removed key, after the apply time", interval{}, interval{}, "old", 14, 1, 0},
		{"removed key, node out of touch", interval{moment(8), moment(11)}, interval{}, "old", 14, 0, 0},
		{"removed key, node in touch again", interval{moment(8), moment(11)}, interval{}, "old", 16, 1, 0},
		{"removed key, node still paused", interval{start: moment(8)}, interval{}, "old", 30, 0, 0},
		{"removed key, store faulty", interval{}, interval{moment(11), moment(13)}, "old", 16, 0, 0},
		{"removed key, store faulty before", interval{}, interval{moment(8), moment(10)}, "old", 14, 1, 0},
		{"removed key, store faulty after all nodes had the removal", interval{}, interval{moment(14), moment(16)}, "old", 17, 1, 0},
		{"key that stays", interval{}, interval{}, "kept", 11, 0, 1},
		{"added key, within the apply time", interval{}, interval{}, "new", 12, 0, 0},
		{"added key, after the apply time", interval{}, interval{}, "new", 14, 0, 1},
		{"added key, before it is published", interval{}, interval{}, "new", 9, 1, 0},
		{"unknown key", interval{}, interval{}, "none", 14, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := history{
				publications: []publication{publicationOf(0, 0, "kept", "old"), publicationOf(10, 0, "kept", "new")},
				nodeFaults:   make([][]interval, 2),
			}
			if !test.nodeFault.start.IsZero() {
				h.nodeFaults[0] = []interval{test.nodeFault}
			}
			if !test.storeFault.start.IsZero() {
				h.storeFaults = []interval{test.storeFault}
			}
			at := moment(test.at)
			attempt := caller.Attempt{ID: "1.c", Key: test.key, Entry: "e", SentAt: at, EndedAt: at}
			ran, _ := h.countKeyViolations([]caller.Attempt{attempt}, []run{{1, at, "1.c"}}, map[string]int{"e": 0})
			attempt.IsUnauthorized = true
			_, unauthorized := h.countKeyViolations([]caller.Attempt{attempt}, nil, map[string]int{"e": 0})
			is.Equal(ran, test.ran)
			is.Equal(unauthorized, test.unauthorized)
		})
	}
}
