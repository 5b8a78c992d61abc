package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// sent is a request of a requester and how it ended.
type sent struct {
	id, to, path, key string
	at, endedAt       time.Time
	status            int
	signature, body   string
	err               string
}

var nextID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+nextID.Add(1)) }

// requester keeps connections to one node.
type requester struct {
	addr string
	mu   sync.Mutex
	idle []*kept
}

type kept struct {
	conn net.Conn
	br   *bufio.Reader
}

func (q *requester) get() (*kept, error) {
	q.mu.Lock()
	if n := len(q.idle); n > 0 {
		k := q.idle[n-1]
		q.idle = q.idle[:n-1]
		q.mu.Unlock()
		return k, nil
	}
	q.mu.Unlock()
	c, err := net.DialTimeout("tcp", q.addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{c, bufio.NewReader(c)}, nil
}

// do sends one request and waits for its answer, for budget at most.
func (q *requester) do(method, host, path, key, body string, budget time.Duration) sent {
	s := sent{id: newID(), to: q.addr, path: path, key: key, at: time.Now()}
	k, err := q.get()
	if err != nil {
		s.err, s.endedAt = "no channel", time.Now()
		return s
	}
	k.conn.SetDeadline(time.Now().Add(budget))
	text := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + wire("request_id") + ": " + s.id + "\r\n" +
		wire("deadline") + ": " + strconv.FormatInt(budget.Milliseconds(), 10) + "\r\n"
	if key != "" {
		text += wire("key") + ": " + key + "\r\n"
	}
	if body != "" || method == "POST" {
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if _, err := io.WriteString(k.conn, text+"\r\n"+body); err != nil {
		k.conn.Close()
		s.err, s.endedAt = "channel closed", time.Now()
		return s
	}
	var resp *http.Response
	for {
		resp, err = http.ReadResponse(k.br, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= 200 {
			break
		}
	}
	if err != nil {
		k.conn.Close()
		s.err, s.endedAt = "no answer: "+err.Error(), time.Now()
		return s
	}
	b, err := io.ReadAll(resp.Body)
	s.endedAt, s.status, s.body, s.signature = time.Now(), resp.StatusCode, string(b), resp.Header.Get(wire("signature"))
	if err != nil {
		s.err = "answer broke off"
	}
	if err != nil || resp.Close {
		k.conn.Close()
		return s
	}
	k.conn.SetDeadline(time.Time{})
	q.mu.Lock()
	q.idle = append(q.idle, k)
	q.mu.Unlock()
	return s
}

func (q *requester) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, k := range q.idle {
		k.conn.Close()
	}
	q.idle = nil
}
