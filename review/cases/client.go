package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns an id that no other request of the case has.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// answer is what a requester got; status is 0 if the channel ended without an answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends one request on a channel of its own and waits for the answer.
func send(address, method, host, path, id string, budget time.Duration, headers map[string]string, body string) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(budget + 500*time.Millisecond))
	if _, err := io.WriteString(c, head(method, host, path, id, budget, headers, len(body))+body); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c), method)
}

// head returns the head of a request.
func head(method, host, path, id string, budget time.Duration, headers map[string]string, length int) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, wire("request_id"), id, wire("deadline"), budget.Milliseconds())
	for name, value := range headers {
		h += name + ": " + value + "\r\n"
	}
	if length > 0 || method == http.MethodPost {
		h += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return h + "\r\n"
}

// readAnswer reads one final answer.
func readAnswer(br *bufio.Reader, method string) answer {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return answer{err: err}
		}
		if resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
	}
}
