package distribution

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The holder that is asked must be near if there is one, and after a failure another one.
func TestNextHolder(t *testing.T) {
	tests := []struct {
		name    string
		holders Holders
		after   time.Duration
		want    string
		// wait is how much later the holder is asked.
		wait time.Duration
	}{
		{"none", Holders{}, 0, "", 0},
		{"a near one at once", Holders{}.With("near", 5, true, false, epoch), 0, "near", 0},
		{"a near one, after the store", Holders{}.With("near", 5, true, true, epoch), 0, "near", readDelay},
		{"a remote one, later", Holders{}.With("far", 5, false, false, epoch), 0, "far", remoteDelay},
		{"a near one before a remote one that is newer", Holders{}.With("far", 6, false, false, epoch).With("near", 5, true, false, epoch), time.Second, "near", 0},
		{"the newest near one", Holders{}.With("a", 5, true, false, epoch).With("b", 6, true, false, epoch), time.Second, "b", 0},
		{"another one after a failure", Holders{}.With("a", 6, true, false, epoch).With("b", 5, true, false, epoch).WithFailure("a", epoch), time.Second, "b", 0},
		{"not at once after a failure", Holders{}.WithFailure("a", epoch).With("a", 6, true, false, epoch.Add(time.Second)), time.Second, "", 0},
		{"again after some time", Holders{}.WithFailure("a", epoch).With("a", 6, true, false, epoch.Add(avoidance)), avoidance, "a", 0},
		{"another one while the first is asked", Holders{}.With("a", 6, true, false, epoch).With("b", 5, true, false, epoch).WithAsked("a", epoch.Add(time.Minute)), time.Second, "b", 0},
		{"none for versions that the node has", Holders{}.With("a", 5, true, false, epoch).WithOwn(5), 0, "", 0},
		{"heard again, no later", Holders{}.With("far", 5, false, false, epoch).With("far", 6, false, false, epoch.Add(200*time.Millisecond)), 0, "far", remoteDelay},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := epoch.Add(test.after)
			got, _ := test.holders.Next(now)
			is.Equal(got.Address, test.want)
			if test.want != "" {
				is.Equal(max(0, got.AskAt.Sub(now)), test.wait)
			}
		})
	}
}

// The holders that are remembered must be bounded, and near and new ones must stay.
func TestHoldersAreBounded(t *testing.T) {
	is := is.New(t)
	h := Holders{}.With("near", 9, true, false, epoch)
	for i := range 100 {
		h = h.With(fmt.Sprint(i), 5, false, false, epoch)
	}
	is.Equal(len(h.known), maxHolders)
	newest, _ := h.Newest()
	is.Equal(newest.Address, "near")
}
