package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["slow-reader"] = slowReader
	addresses["slow-reader"] = ipsOf(6)
}

// slowReader has requesters read long answers slowly, within their time budget.
func slowReader(f *fleet) string {
	const (
		size   = 30 << 20
		budget = 30 * time.Second
		steps  = 400
		pace   = 27 * time.Second
	)
	l := &ledger{}
	body := strings.Repeat("0123456789abcdef", size/16)
	for i, ip := range addresses["slow-reader"] {
		v := f.addVM(fmt.Sprintf("n%d", i+1), ip, []string{"za", "zb"}[i%2], "ra", "atlas")
		v.memoryMB = 536
		v.startNode(true)
	}
	f.publish(downloadConfig)
	for i, v := range f.vms {
		f.await("readiness of "+v.name, v.isReady)
		instance := fmt.Sprintf("i-%08x", 0x62b11c00+i)
		t := v.startTarget(instance, 5, 40*time.Millisecond, l)
		t.handle = func(w http.ResponseWriter, r *http.Request) bool {
			if !strings.HasPrefix(r.URL.Path, "/pack/") {
				return false
			}
			id := r.Header.Get(wire("request_id"))
			l.add(arrival{id: id, instance: instance, path: r.URL.Path, at: time.Now()})
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			start := time.Now()
			t.answer(w, id, body)
			f.record.add("target: %s has answered %s, %d bytes, in %v", instance, id, len(body), time.Since(start))
			return true
		}
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i, v := range f.vms {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// One after the other, so that no node holds more than its memory for bodies.
			time.Sleep(time.Duration(i) * time.Second)
			conn, err := net.DialTimeout("tcp", v.addr(f.p.outbound), time.Second)
			must(err)
			defer conn.Close()
			conn.(*net.TCPConn).SetReadBuffer(64 << 10)
			br := bufio.NewReader(conn)
			for _, path := range []string{"/eta/1", "/pack/1"} {
				id, start := newID(), time.Now()
				conn.SetDeadline(start.Add(budget))
				fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: maps.example\r\n%s: %s\r\n%s: %d\r\n\r\n", path, wire("request_id"), id, wire("deadline"), budget.Milliseconds())
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					f.record.say("requester at %s: %s %s got no answer: %v", v.name, path, id, err)
					return
				}
				got := int64(0)
				for err == nil {
					n := int64(0)
					n, err = io.CopyN(io.Discard, resp.Body, size/steps)
					got += n
					if trouble && path != "/eta/1" {
						time.Sleep(time.Until(start.Add(time.Duration(float64(got) / size * float64(pace)))))
					}
				}
				f.record.say("requester at %s: %s %s got status %d, signature %q, %d of %d bytes in %.1f s: %v", v.name, path, id,
					resp.StatusCode, resp.Header.Get(wire("signature")), got, resp.ContentLength, time.Since(start).Seconds(), err)
				if resp.StatusCode == 200 && got < resp.ContentLength && time.Since(start) < budget {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	if lost > 3 {
		return fmt.Sprintf("LOST: %d requests on kept channels were passed on to sound servers, and the channel was closed before the answer was complete", lost)
	}
	return ""
}
