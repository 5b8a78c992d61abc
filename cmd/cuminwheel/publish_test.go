package main

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/platform"
	"github.com/cuminwheel/cuminwheel/standin/store"
	"github.com/matryer/is"
)

// publisher publishes versions to a stand-in for the store.
type publisher struct {
	t     *testing.T
	store *store.Server
	url   string
}

func newPublisher(t *testing.T) *publisher {
	t.Helper()
	s := store.New()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return &publisher{t: t, store: s, url: strings.TrimPrefix(server.URL, "http://")}
}

// publish runs the command for a version.
func (p *publisher) publish(version int, patience time.Duration) error {
	file := filepath.Join(p.t.TempDir(), "configuration.json")
	draft := fmt.Sprintf(`{"version":%d,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h","prefix":"/","timeout_ms":1000,"target_latency_ms":500,"max_attempts":2,"parts":[{"service":"s","weight":1}]}]}`, version)
	if err := os.WriteFile(file, []byte(draft), 0o644); err != nil {
		p.t.Fatal(err)
	}
	command := publishCommand()
	var out strings.Builder
	command.Writer = &out
	return command.Run(context.Background(), []string{"publish", "--store", p.url, "--patience", patience.String(), file})
}

// version returns the version that the store has.
func (p *publisher) version() uint64 {
	client, closeClient := platform.NewStore(p.url)
	defer closeClient()
	read, err := platform.NewConfigurationSource(client).Newest(p.t.Context())
	if err != nil {
		p.t.Fatal(err)
	}
	c, err := platform.DecodeConfiguration(read.Newest())
	if err != nil {
		p.t.Fatal(err)
	}
	return c.Version
}

// Guards against a write without a response that is carried out late and replaces a newer
// version that has been confirmed since.
func TestLateWriteReplacesNoNewerVersion(t *testing.T) {
	is := is.New(t)
	p := newPublisher(t)
	is.NoErr(p.publish(4, 5*time.Second))
	p.store.SetFaults(store.Faults{LateMillis: 4500})
	is.NoErr(p.publish(5, 10*time.Second)) // the first write gets no response
	is.NoErr(p.publish(6, 5*time.Second))
	time.Sleep(2 * time.Second)
	is.Equal(p.version(), uint64(6))
}

// Guards against two operators who are both told that their version is published, while the
// older one stays.
func TestRacingOperatorsKeepTheNewerVersion(t *testing.T) {
	is := is.New(t)
	p := newPublisher(t)
	is.NoErr(p.publish(4, 5*time.Second))
	p.store.SetFaults(store.Faults{DelayMillis: 300})
	var operators sync.WaitGroup
	var newerErr, olderErr error
	operators.Go(func() { newerErr = p.publish(6, 5*time.Second) })
	operators.Go(func() {
		time.Sleep(100 * time.Millisecond)
		olderErr = p.publish(5, 5*time.Second)
	})
	operators.Wait()
	p.store.SetFaults(store.Faults{})
	is.Equal(p.version(), uint64(6))
	is.NoErr(newerErr)
	is.True(olderErr != nil)
}
