package link

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against a link that injects another fault than its mode says.
func TestLinkModes(t *testing.T) {
	tests := []struct {
		mode         Mode
		wantRequest  bool // the target receives the request
		wantResponse bool // the caller receives the response
	}{
		{Pass, true, true}, {Delay, true, true}, {DropResponses, true, false}, {DropAll, false, false},
	}
	for _, test := range tests {
		t.Run(test.mode.String(), func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			received := make(chan bool, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				conn.SetReadDeadline(time.Now().Add(time.Second))
				_, err = conn.Read(make([]byte, 8))
				received <- err == nil
				conn.Write([]byte("answer"))
				io.Copy(io.Discard, conn)
			}()
			k, closeLink, err := New("127.0.0.1:0", l.Addr().String())
			is.NoErr(err)
			defer closeLink()
			k.SetMode(test.mode)
			conn, err := net.Dial("tcp", k.Address())
			is.NoErr(err)
			defer conn.Close()
			conn.Write([]byte("request"))
			is.Equal(<-received, test.wantRequest)
			conn.SetReadDeadline(time.Now().Add(time.Second))
			_, err = conn.Read(make([]byte, 8))
			is.Equal(err == nil, test.wantResponse)
		})
	}
}

// Guards against a silenced connection that still delivers or that ends, and against new
// connections that are silent too.
func TestSilenceAffectsOpenConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	k, closeLink, err := New("127.0.0.1:0", l.Addr().String())
	is.NoErr(err)
	defer closeLink()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", k.Address())
		is.NoErr(err)
		return conn
	}
	// echo returns the error of reading what the target sends back.
	echo := func(conn net.Conn, timeout time.Duration) error {
		_, err := conn.Write([]byte("x"))
		is.NoErr(err)
		conn.SetReadDeadline(time.Now().Add(timeout))
		_, err = conn.Read(make([]byte, 1))
		return err
	}
	before := dial()
	defer before.Close()
	is.NoErr(echo(before, time.Second))
	k.Silence()
	var netErr net.Error
	is.True(errors.As(echo(before, 100*time.Millisecond), &netErr) && netErr.Timeout())
	after := dial()
	defer after.Close()
	is.NoErr(echo(after, time.Second))
}
