// Package rawpeer stands in for a server that answers with bytes of the caller's choice, which
// need not be HTTP.
package rawpeer

import (
	"io"
	"net"
)

// requestBytes is how much of a request is read before it is answered, at most.
const requestBytes = 4096

// Listen accepts connections on a loopback port, reads the beginning of a request on each, calls
// respond and then closes the connection. The returned function ends the listening;
// connections that are open stay so until respond returns.
func Listen(respond func(*net.TCPConn)) (address string, closeListener func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn), respond)
		}
	}()
	return l.Addr().String(), func() { l.Close() }, nil
}

// ListenWith is Listen with the same response to each connection.
func ListenWith(response string) (address string, closeListener func(), err error) {
	return Listen(func(c *net.TCPConn) {
		// The peer reads nothing further once it has the response.
		_, _ = io.WriteString(c, response)
	})
}

func serve(conn *net.TCPConn, respond func(*net.TCPConn)) {
	defer conn.Close()
	if _, err := conn.Read(make([]byte, requestBytes)); err == nil {
		respond(conn)
	}
}
