package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a server began to work on.
type run struct {
	at            time.Time
	id            string
	method        string
	uri           string
	callerService string
	body          string
}

// server is a stand-in for a server of a service. Unless a hook says otherwise, it
// behaves as a sound one.
type server struct {
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	rec     *record
	// born and sequence are told in pings.
	born     int64
	sequence int
	// sheds reports whether a request is rejected as not executed.
	sheds func(id string) bool
	// repeats returns after which delay a second copy of an answer is sent; zero means
	// that none is.
	repeats func(id string) time.Duration

	slotsInUse chan struct{}
	listener   net.Listener
	mu         sync.Mutex
	channels   []net.Conn
	runs       []run
	arrivals   int
}

// serve starts the server on the address of its node's settings.
func (s *server) serve() {
	var err error
	s.born = time.Now().UnixMilli()
	s.slotsInUse = make(chan struct{}, s.slots)
	s.listener, err = net.Listen("tcp", s.address)
	must(err)
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.channels = append(s.channels, c)
			s.mu.Unlock()
			go s.serveConn(c)
		}
	}()
}

// serveConn serves one request at a time until the channel ends.
func (s *server) serveConn(c net.Conn) {
	defer c.Close()
	var writeMu sync.Mutex
	requests := make(chan *http.Request)
	ended, stop := context.WithCancel(context.Background())
	defer stop()
	answered := make(chan struct{}, 1)
	go func() {
		defer close(requests)
		defer stop()
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			requests <- r
			// Reading on shows whether the channel has been closed.
			if _, err := br.Peek(1); err != nil {
				return
			}
			<-answered
		}
	}()
	for r := range requests {
		answer := s.answer(ended, r)
		if answer == nil {
			return
		}
		writeMu.Lock()
		_, err := c.Write(answer)
		writeMu.Unlock()
		if err != nil {
			return
		}
		id := r.Header.Get(wire("request_id"))
		if s.repeats != nil {
			if delay := s.repeats(id); delay > 0 {
				time.AfterFunc(delay, func() {
					writeMu.Lock()
					defer writeMu.Unlock()
					if _, err := c.Write(answer); err == nil {
						s.rec.add("server %s sends a second copy of its answer to %s", s.id, id)
					}
				})
			}
		}
		answered <- struct{}{}
	}
}

// answer runs a request or rejects it, and returns the bytes of the answer.
func (s *server) answer(ctx context.Context, r *http.Request) []byte {
	id := r.Header.Get(wire("request_id"))
	h := map[string]string{wire("request_id"): id, wire("instance_id"): s.id}
	s.mu.Lock()
	s.arrivals++
	s.mu.Unlock()
	if r.URL.Path == "/healthz" {
		return encode(200, h, []byte("ok"))
	}
	if expected := r.Header.Get(wire("expected_instance")); expected != "" && expected != s.id {
		s.rec.add("server %s: %s expects %s: 421, not run", s.id, id, expected)
		return encode(421, h, nil)
	}
	if id == "" {
		h[wire("not_executed")] = "1"
		return encode(400, h, nil)
	}
	millis, err := strconv.Atoi(r.Header.Get(wire("deadline")))
	if err != nil {
		millis = 60000
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(millis)*time.Millisecond)
	defer cancel()
	select {
	case s.slotsInUse <- struct{}{}:
		defer func() { <-s.slotsInUse }()
	case <-ctx.Done():
		h[wire("not_executed")] = "1"
		return encode(503, h, nil)
	}
	if s.sheds != nil && s.sheds(id) {
		s.rec.add("server %s rejects %s as not executed", s.id, id)
		h[wire("not_executed")] = "1"
		return encode(503, h, nil)
	}
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.runs = append(s.runs, run{time.Now(), id, r.Method, r.RequestURI, r.Header.Get(wire("caller_service")), string(body)})
	s.mu.Unlock()
	s.rec.add("server %s runs %s: %s %s, body of %d bytes", s.id, id, r.Method, r.RequestURI, len(body))
	select {
	case <-time.After(s.work):
	case <-ctx.Done():
		if context.Cause(ctx) == context.DeadlineExceeded {
			h[wire("signature")] = "standin." + id
			return encode(504, h, nil)
		}
		return nil
	}
	h[wire("signature")] = "standin." + id
	h[wire("load")] = fmt.Sprintf("%d,0,%d", len(s.slotsInUse), s.slots)
	return encode(200, h, []byte("done "+id+"\n"))
}

// encode returns an answer with a length.
func encode(status int, headers map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// runsOf returns how often each request was run.
func (s *server) runsOf() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for _, r := range s.runs {
		counts[r.id]++
	}
	return counts
}

// pingBody returns the body of the server's next ping.
func (s *server) pingBody(state string) []byte {
	s.mu.Lock()
	s.sequence++
	sequence := s.sequence
	s.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "seq": sequence, "cold_remaining": "0ms"},
	})
	must(err)
	return body
}

// tell sends a call to the admin address of a node and reports whether it was confirmed.
func (s *server) tell(admin, call string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+admin+wire(call)+s.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

// ping sends pings to a node until ctx ends.
func (s *server) ping(ctx context.Context, admin string) {
	for {
		s.tell(admin, "ping_call", s.pingBody("ready"))
		select {
		case <-ctx.Done():
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}
