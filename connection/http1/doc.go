// Package http1 reads and writes HTTP/1.1 messages on connections that it owns, as
// a server and as a client. Entries use it to serve callers and to call gates,
// gates to serve entries and to call targets, and package platform to call the
// store.
//
// As a server, a Listener reads requests, pipelined ones included, passes each to
// a Handler as soon as it is read, and writes the responses in the order of the
// requests. A request's context is cancelled when its connection ends. A request
// with Expect: 100-continue reaches the handler before its body, unless
// Limits.ReadBodiesFirst is set; IncomingRequest.ReadBody requests the body.
//
// A Listener shuts down in steps. After Drain, each connection closes once the
// requests in progress on it have their responses. After Stop, the listener serves
// no further connections or requests. CancelRequests cancels those in progress. The
// function that Listen returns closes all connections.
//
// As a client, a Pool keeps idle connections to one address. Get returns an idle
// one or opens a new one, Conn.Do carries one request at a time, and Put returns
// the connection to the pool. The package never sends a request twice: an error
// tells whether any part of the request may have been acted on, and the code that
// called Do decides whether to retry. While the handler of a Listener works on a
// request, IncomingRequest.SendInterim sends interim responses, which Do passes to
// Request.OnInterim.
//
// Everything that a peer sends is bounded: heads, bodies and framing in bytes, what
// precedes a response in number. Messages are held in memory as a whole; a BodyBudget
// bounds the bodies of a process together, and those that may not end give way to others.
// The heads of responses and their trailers are checked before anything in them is used:
// ErrMalformed is the error of a peer that does not send HTTP.
package http1
