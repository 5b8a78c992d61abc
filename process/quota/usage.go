package quota

import (
	"math"
	"time"
)

const (
	// usageTime is the time constant with which past use is forgotten.
	usageTime = 500 * time.Millisecond
	// lotTime is the time for which an entry requests tokens. It is below tokenTTL, so
	// that few tokens expire.
	lotTime = 300 * time.Millisecond
)

// usage measures the rate at which tokens are used.
type usage struct {
	count float64
	at    time.Time
}

// add counts one use.
func (u *usage) add(now time.Time) {
	u.count = u.decayed(now) + 1
	u.at = now
}

func (u *usage) decayed(now time.Time) float64 {
	return u.count * math.Exp(-now.Sub(u.at).Seconds()/usageTime.Seconds())
}

// lot returns the number of tokens to hold for the coming lotTime: the expected use less
// its standard deviation. With the expected use itself, so many tokens expired at the
// nodes of a customer with nine tenths of its quota that up to 4 of 750 requests were
// refused in TestBelowQuotaIsNotRefused.
func (u *usage) lot(now time.Time) int {
	expected := u.decayed(now) * lotTime.Seconds() / usageTime.Seconds()
	return max(1, int(expected-math.Sqrt(expected)))
}
