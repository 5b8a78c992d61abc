// Package http1 reads and writes HTTP/1.1 messages on connections that it owns, as
// a server and as a client. Entries and gates use it for callers, for targets and
// between each other.
//
// As a server, a Listener reads requests, pipelined ones included, passes each to
// a Handler as soon as it is read, and writes the responses in the order of the
// requests. A request's context is cancelled when its connection ends. A request
// with Expect: 100-continue reaches the handler before its body;
// IncomingRequest.ReadBody asks for the body. A Listener serves until Drain, which
// closes each connection after the requests in progress on it, and Stop, which takes no
// further connections or requests. CancelRequests then cancels those in progress.
//
// As a client, a Pool keeps idle connections to one address. Get returns an idle
// one or opens a new one, Conn.Do carries one request at a time, and Put returns
// the connection to the pool. The package never sends a request twice: an error
// tells whether any part of the request may have been acted on, and the code that
// called Do decides whether to retry.
package http1
