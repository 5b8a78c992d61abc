package http1

import (
	"net"
	"testing"
)

// servePeer accepts connections, reads the beginning of a request on each, calls respond and
// closes the connection.
func servePeer(t *testing.T, respond func(*net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := conn.Read(make([]byte, 4096)); err == nil {
					respond(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return l.Addr().String()
}
