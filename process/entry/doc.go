// Package entry takes requests from callers and brings each to one of the
// three outcomes: the whole answer, a refusal that says the request was not
// run, or a failure whose outcome is unknown.
//
// An attempt is repeated elsewhere only when it certainly did not run or when
// the request is idempotent, within a budget for retries and the caller's
// deadline. Claims go to the holder of their key's seat.
package entry
