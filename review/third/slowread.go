package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	uploadBytes = 360_000
	// readPause is how long a server that reads slowly rests within a body.
	readPause = 3600 * time.Millisecond
	grace     = 6 * time.Second
)

func init() { cases["slow-read"] = slowReadCase }

// slowReadCase sends uploads through a node that is then stopped as planned, to servers that
// read slowly.
func slowReadCase(f *fleet) {
	f.startStore()
	for i := range 6 {
		f.addNode([]string{"entry", "entry", "entry", "papers", "papers", "papers"}[i])
	}
	c := configuration(1, nil, "entry", "papers")
	hosts := c[wire("hosts")].([]any)[0].(map[string]any)
	hosts["paths"] = append(hosts["paths"].([]any), map[string]any{
		"name": "documents", "prefix": "/documents/", "kind": "upload", "timeout": "6s", "target_latency": "4s",
		"priority": 0, "attempts": 2, "service": "papers",
	})
	f.publish(c)
	for _, n := range f.nodes {
		n.start(true)
	}
	for _, n := range f.nodes {
		n.addTarget(5, 40*time.Millisecond)
		n.target.reads = func(r *http.Request) ([]byte, error) {
			if !strings.HasPrefix(r.URL.Path, "/documents/") {
				return io.ReadAll(r.Body)
			}
			first := make([]byte, 16<<10)
			n, err := io.ReadFull(r.Body, first)
			if err != nil {
				return nil, err
			}
			if f.trouble {
				time.Sleep(readPause)
			}
			rest, err := io.ReadAll(r.Body)
			if !f.trouble {
				time.Sleep(readPause)
			}
			return append(first[:n], rest...), err
		}
	}
	f.awaitReady()
	time.Sleep(6 * time.Second)

	entry := f.nodes[0]
	var mu sync.Mutex
	var answers []answer
	var pending sync.WaitGroup
	for i := range 4 {
		pending.Go(func() {
			a := entry.send("POST", "roster.example", fmt.Sprintf("/documents/%d", i), "", 6*time.Second, make([]byte, uploadBytes))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
			f.record.printf("requester: %s sent at %.3f, after %v status %d, proof %v %s", a.id, a.sentAt.Sub(f.startedAt).Seconds(), a.took.Round(time.Millisecond), a.status, a.signed, trim(a.err))
		})
	}
	time.Sleep(200 * time.Millisecond)
	entry.signal(syscall.SIGTERM)
	termAt := time.Now()
	pending.Wait()
	ran := map[string]time.Time{}
	for _, r := range f.allRuns() {
		ran[r.id] = r.at
		f.record.printf("server: began to work on %s at %.3f", r.id, r.at.Sub(f.startedAt).Seconds())
	}
	broken := 0
	for _, a := range answers {
		endedAt := a.sentAt.Add(a.took)
		_, hasRun := ran[a.id]
		// Not counted: what ends in the last sixth of grace, or when the time budget is over.
		if hasRun && !a.signed && endedAt.Before(termAt.Add(grace*5/6)) && a.took < 5500*time.Millisecond {
			broken++
		}
	}
	f.end(broken > 0, "%d of %d uploads at which a server was at work were broken off after the SIGTERM of the node that took them, before the last sixth of grace and within their time budget", broken, len(answers))
}
