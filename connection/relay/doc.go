// Package relay sends one request over HTTP and takes in its answer.
//
// It says for certain whether the request was sent at all, ties the answer to
// its request, and hands on only answers that are whole: a short one is held
// back until its end has been seen, and a long one that breaks off breaks off
// the caller's connection too, so that no caller takes a part for the whole.
package relay
