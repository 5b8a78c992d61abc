package follower

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

var (
	errStore  = errors.New("store is away")
	errFaulty = errors.New("faulty configuration")
)

func decode(b []byte) (configuration.Configuration, error) {
	n, err := strconv.ParseUint(string(b), 10, 64)
	if err != nil {
		return configuration.Configuration{}, errFaulty
	}
	return configuration.New(n, nil, configuration.Limits{}, nil), nil
}

// source is a store of configurations that can be away, silent or forgetful.
type source struct {
	mu       sync.Mutex
	records  []string
	first    int
	away     bool
	silent   bool
	calls    int
	appended chan struct{}
}

func newSource() *source { return &source{appended: make(chan struct{})} }

func (s *source) publish(record string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, record)
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *source) set(f func(*source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *source) Newest(context.Context) ([]byte, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return nil, 0, errStore
	}
	if len(s.records) == 0 {
		return nil, 0, nil
	}
	return []byte(s.records[len(s.records)-1]), int64(len(s.records)), nil
}

func (s *source) Next(ctx context.Context, position int64) ([][]byte, int64, error) {
	s.mu.Lock()
	s.calls++
	away, silent, missed, appended := s.away, s.silent, position < int64(s.first), s.appended
	s.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return nil, 0, ctx.Err()
	case away:
		return nil, 0, errStore
	case missed:
		return nil, 0, ErrTrimmed
	}
	select {
	case <-appended:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(28 * time.Second):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list [][]byte
	for _, r := range s.records[position:] {
		list = append(list, []byte(r))
	}
	return list, int64(len(s.records)), nil
}

// follow runs a follower of a source with version 1 in a bubble until the test's
// function has ended.
func follow(t *testing.T, prepare func(*source), test func(*source, *Current)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource()
		s.publish("1")
		prepare(s)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := NewCurrent(decode, hclog.NewNullLogger())
		go New(s, c, hclog.NewNullLogger()).Run(ctx)
		test(s, c)
		cancel()
		synctest.Wait()
	})
}

const inForceWithin = 2500 * time.Millisecond

func TestFollower(t *testing.T) {
	tests := []struct {
		name string
		// during changes the source 10 s after the start, when version 1 is in
		// force.
		during func(*source)
		want   uint64
	}{
		{"a new version", func(s *source) { s.publish("2") }, 2},
		{"versions in quick succession", func(s *source) { s.publish("2"); s.publish("5"); s.publish("7") }, 7},
		{"an older version comes late", func(s *source) { s.publish("4"); s.publish("3") }, 4},
		{"a faulty one between", func(s *source) { s.publish("2"); s.publish("x"); s.publish("3") }, 3},
		{"a faulty one last", func(s *source) { s.publish("2"); s.publish("x") }, 2},
		{"history forgotten", func(s *source) {
			s.publish("2")
			time.Sleep(100 * time.Millisecond)
			s.set(func(s *source) { s.first = len(s.records) + 1; s.records = append(s.records, "3", "4") })
		}, 4},
		{"store away and back", func(s *source) {
			s.set(func(s *source) { s.away = true })
			s.publish("2")
			time.Sleep(20 * time.Second)
			s.set(func(s *source) { s.away = false })
		}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			follow(t, func(*source) {}, func(s *source, c *Current) {
				is := is.New(t)
				time.Sleep(10 * time.Second)
				is.Equal(c.Configuration().Version, uint64(1))
				test.during(s)
				time.Sleep(inForceWithin)
				is.Equal(c.Configuration().Version, test.want)
			})
		})
	}
}

// A wait at a store that has gone silent ends when another node had a newer
// configuration, so that the next one comes from the store again.
func TestSilentWaitIsOvertaken(t *testing.T) {
	follow(t, func(s *source) { s.silent = true }, func(s *source, c *Current) {
		is := is.New(t)
		time.Sleep(time.Second)
		s.set(func(s *source) { s.silent = false })
		s.publish("2")
		is.NoErr(c.Offer([]byte("2"), "another node"))
		time.Sleep(inForceWithin)
		s.publish("3")
		time.Sleep(inForceWithin)
		is.Equal(c.Configuration().Version, uint64(3))
	})
}

// Calls are paid for: a quiet store is asked about twice a minute, and one that
// fails less often than each second.
func TestCallsAreFew(t *testing.T) {
	for _, test := range []struct {
		name string
		away bool
		most int
	}{{"quiet", false, 5}, {"away", true, 70}} {
		t.Run(test.name, func(t *testing.T) {
			follow(t, func(s *source) { s.away = test.away }, func(s *source, _ *Current) {
				is := is.New(t)
				time.Sleep(time.Minute)
				s.mu.Lock()
				defer s.mu.Unlock()
				is.True(s.calls <= test.most)
			})
		})
	}
}
