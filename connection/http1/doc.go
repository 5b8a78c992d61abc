// Package http1 carries HTTP/1.1 messages over connections that it owns.
//
// A Listener reads requests, pipelined ones included, hands each to a Handler
// at once and writes the answers in the order of the requests. A request's
// context ends when its connection does. A request that expects a 100 response
// reaches the handler before its body; the handler asks for the body when it
// wants it sent.
//
// A Pool sends requests over kept connections, one at a time on each. Nothing
// is ever sent twice: an error says whether anything of the request may have
// reached the peer, and the caller of the package decides.
package http1
