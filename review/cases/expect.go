package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"time"
)

// caseExpect sends claims with Expect: 100-continue. With trouble, the requester sends the
// body at once, which HTTP/1.1 allows; without, it waits for the 100 answer. The body of
// every second claim is text that looks like a request; the others are plain text.
func caseExpect(f *fleet, rec *record) (broken bool) {
	const host, claims = "jepu9.example", 20
	entry := f.newNode("sidecar-bajio-a-1", "bajio-a", "tablero")
	gate := f.newNode("sidecar-bajio-a-2", "bajio-a", "reparto")
	s := &server{id: "i-7f3a91c2", service: "reparto", zone: "bajio-a", address: gate.app, slots: 3, work: 50 * time.Millisecond, rec: rec}
	s.serve()
	go s.ping(context.Background(), gate.admin)
	f.publish(configuration(7, []string{"tablero", "reparto"}, []route{{name: "claim", host: host, prefix: "/puka111/", kind: "non_idempotent",
		service: "reparto", timeout: 1500 * time.Millisecond, latency: 800 * time.Millisecond, attempts: 2}}, nil))
	entry.awaitReady()
	gate.awaitReady()
	time.Sleep(2 * time.Second)

	sent := map[string]string{}
	unanswered := 0
	for i := range claims {
		id := newID()
		body := head("POST", host, fmt.Sprintf("/puka111/take/%d", i), fmt.Sprintf("text-in-body-%d", i), 1500*time.Millisecond, nil, 0)
		if i%2 == 1 {
			body = fmt.Sprintf("shift %d", i)
		}
		sent[id] = body
		a := sendExpecting(entry.outbound, host, fmt.Sprintf("/puka111/note/%d", i), id, body)
		if a.status == 0 {
			unanswered++
		}
		rec.add("claim %s with a body of %d bytes: status %d, %v", id, len(body), a.status, a.err)
	}
	time.Sleep(500 * time.Millisecond)
	unasked, changed := 0, 0
	for _, r := range s.runs {
		body, ok := sent[r.id]
		if !ok {
			unasked++
			rec.add("UNASKED: the server ran %s %s with id %s, which no requester sent", r.method, r.uri, r.id)
		} else if r.body != body {
			changed++
			rec.add("UNASKED: the body of %s was changed", r.id)
		}
	}
	rec.add("%d claims sent, %d without an answer, %d runs, %d that nobody sent, %d changed", claims, unanswered, len(s.runs), unasked, changed)
	// CONFIG: eight or more requests, and over a quarter, have no answer 0.5 s after the
	// timeout of their route.
	return unasked+changed > 0 || unanswered >= 8 && 4*unanswered > claims
}

// sendExpecting sends a claim with Expect: 100-continue and returns the answer.
func sendExpecting(address, host, path, id, body string) answer {
	const budget = 1500 * time.Millisecond
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(budget + 500*time.Millisecond))
	h := head("POST", host, path, id, budget, map[string]string{"Expect": "100-continue"}, len(body))
	br := bufio.NewReader(c)
	if trouble {
		io.WriteString(c, h+body)
		return readAnswer(br, "POST")
	}
	io.WriteString(c, h)
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return answer{err: err}
		}
		if line == "\r\n" {
			break
		}
	}
	io.WriteString(c, body)
	return readAnswer(br, "POST")
}
