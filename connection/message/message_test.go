package message

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

const headerID = "Test-Id"

func idOf(h http.Header) string { return h.Get(headerID) }

var testLimits = Limits{HeadBytes: 4096, BodyBytes: 1 << 20, HeadTimeout: time.Second, IdleTimeout: 5 * time.Second}

func listen(t *testing.T, h Handler) *Listener {
	t.Helper()
	l, closeListener, err := Listen("127.0.0.1:0", h, func() Limits { return testLimits }, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeListener)
	return l
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

func readAnswer(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(b)
}

// echoPath answers with the path; a path of /wait waits for the release.
func echoPath(release <-chan struct{}) Handler {
	return func(_ context.Context, in *Incoming) *Answer {
		if in.Path == "/wait" {
			<-release
		}
		return &Answer{Status: http.StatusOK, Header: http.Header{headerID: {in.Header.Get(headerID)}}, Body: []byte(in.Path)}
	}
}

// Pipelined requests are served at once and answered in their order.
func TestPipelinedAnswersKeepOrder(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	second := make(chan struct{})
	l := listen(t, func(ctx context.Context, in *Incoming) *Answer {
		if in.Path == "/second" {
			close(second)
		}
		return echoPath(release)(ctx, in)
	})
	conn, r := dial(t, l.Address())
	io.WriteString(conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	<-second // it is handled while the first still waits
	close(release)
	_, body := readAnswer(t, r)
	is.Equal(body, "/wait")
	_, body = readAnswer(t, r)
	is.Equal(body, "/second")
}

func TestRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		send   string
		status int
	}{
		{"malformed head", "nonsense\r\n\r\n", http.StatusBadRequest},
		{"head too large", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"body too large", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := listen(t, func(context.Context, *Incoming) *Answer {
				t.Error("the handler was called")
				return &Answer{Abort: true}
			})
			conn, r := dial(t, l.Address())
			io.WriteString(conn, test.send)
			res, _ := readAnswer(t, r)
			is.Equal(res.StatusCode, test.status)
			is.True(res.Close)
		})
	}
}

// A request's context ends when its caller closes the connection.
func TestCallerGoneEndsContext(t *testing.T) {
	is := is.New(t)
	began, ended := make(chan struct{}), make(chan error, 1)
	l := listen(t, func(ctx context.Context, _ *Incoming) *Answer {
		close(began)
		<-ctx.Done()
		ended <- context.Cause(ctx)
		return &Answer{Abort: true}
	})
	conn, _ := dial(t, l.Address())
	io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	conn.Close()
	is.True(errors.Is(<-ended, ErrCallerGone))
}

// After Drain the answer in progress ends its connection, and both requests
// that were read from one connection are answered.
func TestDrainAnswersWhatWasRead(t *testing.T) {
	is := is.New(t)
	release, second := make(chan struct{}), make(chan struct{})
	l := listen(t, func(ctx context.Context, in *Incoming) *Answer {
		if in.Path == "/second" {
			close(second)
		}
		return echoPath(release)(ctx, in)
	})
	conn, r := dial(t, l.Address())
	io.WriteString(conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	<-second
	l.Drain()
	close(release)
	res, body := readAnswer(t, r)
	is.Equal(body, "/wait")
	is.True(!res.Close)
	res, body = readAnswer(t, r)
	is.Equal(body, "/second")
	is.True(res.Close)
	_, err := r.ReadByte()
	is.Equal(err, io.EOF)
}

// After Stop what was read is answered, and neither a connection nor a request is
// taken.
func TestStopLeavesTheRestUnread(t *testing.T) {
	is := is.New(t)
	release, began := make(chan struct{}), make(chan struct{})
	handled := 0
	l := listen(t, func(ctx context.Context, in *Incoming) *Answer {
		handled++
		close(began) // panics if a second request is handled
		return echoPath(release)(ctx, in)
	})
	idle, idleReader := dial(t, l.Address())
	conn, r := dial(t, l.Address())
	io.WriteString(conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	l.Stop()
	_, err := idleReader.ReadByte()
	is.Equal(err, io.EOF)
	io.WriteString(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	io.WriteString(conn, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err = net.Dial("tcp", l.Address())
	is.True(err != nil)
	close(release)
	res, body := readAnswer(t, r)
	is.Equal(body, "/wait")
	is.True(res.Close)
	is.Equal(handled, 1)
}

// End lets requests in progress return what they have, and the answers that wait
// behind them on their connection are written.
func TestEndWritesWhatIsReady(t *testing.T) {
	is := is.New(t)
	ready := make(chan struct{})
	l := listen(t, func(ctx context.Context, in *Incoming) *Answer {
		if in.Path == "/slow" {
			<-ctx.Done()
			is.True(errors.Is(context.Cause(ctx), ErrEnding))
		} else {
			close(ready)
		}
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte(in.Path)}
	})
	conn, r := dial(t, l.Address())
	io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
	<-ready
	l.Stop()
	l.End()
	_, body := readAnswer(t, r)
	is.Equal(body, "/slow")
	_, body = readAnswer(t, r)
	is.Equal(body, "/ready")
}

// A request that awaits its grant reaches the handler before its body, and the
// body comes only after the grant.
func TestGrant(t *testing.T) {
	tests := []struct {
		name   string
		grants bool
		body   string
	}{
		{"granted, with a body", true, "claim"},
		{"granted, without a body", true, ""},
		{"refused", false, "claim"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := listen(t, func(ctx context.Context, in *Incoming) *Answer {
				if !test.grants {
					return Plain(http.StatusServiceUnavailable, "refused")
				}
				b, err := in.Body(ctx)
				is.NoErr(err)
				return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: b}
			})
			pool, closePool := NewPool(l.Address(), time.Second)
			defer closePool()
			for i := range 3 { // the connection carries further requests
				conn, err := pool.Get(t.Context(), time.Minute)
				is.NoErr(err)
				is.Equal(conn.Reused, i > 0)
				granted := false
				a, err := conn.Do(t.Context(), Request{
					Method: http.MethodPost, URI: "/", Host: "h", Body: []byte(test.body), AwaitsGrant: true,
				}, idOf, func() { granted = true })
				is.NoErr(err)
				is.Equal(granted, test.grants)
				if test.grants {
					is.Equal(string(a.Body), test.body)
				} else {
					is.Equal(a.Status, http.StatusServiceUnavailable)
				}
				pool.Put(conn)
			}
		})
	}
}

// A request whose caller leaves before the grant never gets its body through:
// the handler learns that the caller is gone.
func TestWithdrawnBeforeGrant(t *testing.T) {
	is := is.New(t)
	asked, proceed, got := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	l := listen(t, func(ctx context.Context, in *Incoming) *Answer {
		close(asked)
		<-proceed
		_, err := in.Body(ctx)
		got <- err
		return &Answer{Abort: true}
	})
	pool, closePool := NewPool(l.Address(), time.Second)
	defer closePool()
	ctx, cancel := context.WithCancel(t.Context())
	conn, err := pool.Get(ctx, time.Minute)
	is.NoErr(err)
	go func() {
		<-asked
		cancel()
	}()
	_, err = conn.Do(ctx, Request{Method: http.MethodPost, URI: "/", Host: "h", Body: []byte("x"), AwaitsGrant: true}, idOf, nil)
	is.True(errors.Is(err, ErrNotSent))
	close(proceed)
	is.True(<-got != nil)
}

// serveRaw answers each request's head with raw bytes and closes the connection
// if closes is set.
func serveRaw(t *testing.T, closes bool, answers ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		for _, a := range answers {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(conn, a)
			if closes {
				return
			}
		}
		io.Copy(io.Discard, r)
	}()
	return l.Addr().String()
}

func answerOf(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + headerID + ": " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// What a faulty peer sends beside an answer never becomes part of another.
func TestFaultyAnswers(t *testing.T) {
	tests := []struct {
		name   string
		closes bool
		first  string
		want   error
		// reuses means that the connection carries a second request.
		reuses bool
	}{
		{"whole", false, answerOf("1", "one"), nil, true},
		{"broken off", true, answerOf("1", "one")[:51], ErrCut, false},
		{"of another request", false, answerOf("9", "one"), ErrForeign, false},
		{"no answer", true, "", ErrNoAnswer, false},
		{"not HTTP", true, "garbage\r\n\r\n", ErrNoAnswer, false},
		{"bytes behind it", false, answerOf("1", "one") + "extra", nil, false},
		{"a second answer behind it", false, answerOf("1", "one") + answerOf("1", "one"), nil, false},
		{"without a length", true, "HTTP/1.1 200 OK\r\n" + headerID + ": 1\r\n\r\none", nil, false},
		{"says that it closes", false, strings.Replace(answerOf("1", "one"), "\r\n", "\r\nConnection: close\r\n", 1), nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			pool, closePool := NewPool(serveRaw(t, test.closes, test.first, answerOf("2", "two")), time.Second)
			defer closePool()
			conn, err := pool.Get(t.Context(), time.Minute)
			is.NoErr(err)
			a, err := conn.Do(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h", ID: "1"}, idOf, nil)
			is.True(errors.Is(err, test.want))
			if err == nil {
				is.Equal(string(a.Body), "one")
			}
			pool.Put(conn)
			is.Equal(len(pool.idle) == 1, test.reuses)
		})
	}
}

// A late answer to an earlier request of the connection is skipped.
func TestLateAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	pool, closePool := NewPool(serveRaw(t, false, answerOf("1", "one"), answerOf("1", "one")+answerOf("2", "two")), time.Second)
	defer closePool()
	for _, id := range []string{"1", "2"} {
		conn, err := pool.Get(t.Context(), time.Minute)
		is.NoErr(err)
		a, err := conn.Do(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h", ID: id}, idOf, nil)
		is.NoErr(err)
		is.Equal(string(a.Body), map[string]string{"1": "one", "2": "two"}[id])
		pool.Put(conn)
	}
}

// A kept connection is not used again when it has been idle for too long or the
// peer has closed it.
func TestStaleConnectionsAreDropped(t *testing.T) {
	is := is.New(t)
	l := listen(t, echoPath(nil))
	pool, closePool := NewPool(l.Address(), time.Second)
	defer closePool()
	use := func(freshness time.Duration) bool {
		conn, err := pool.Get(t.Context(), freshness)
		is.NoErr(err)
		reused := conn.Reused
		_, err = conn.Do(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h"}, idOf, nil)
		is.NoErr(err)
		pool.Put(conn)
		return reused
	}
	is.True(!use(time.Minute))
	is.True(use(time.Minute))
	is.True(!use(0))   // too long idle
	for l.Busy() > 0 { // the answer is here before the listener has counted it
		time.Sleep(time.Millisecond)
	}
	l.closeIdle()
	for range 100 { // until the close has arrived
		if !pool.idle[0].isQuiet() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(!use(time.Minute)) // closed by the peer
}

func TestEndToEnd(t *testing.T) {
	is := is.New(t)
	h := http.Header{
		"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"},
		"Transfer-Encoding": {"chunked"}, "X-Kept": {"a", "b"}, "Upgrade": {"h2c"},
	}
	is.Equal(EndToEnd(h), http.Header{"X-Kept": {"a", "b"}})
}
