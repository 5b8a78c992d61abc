package caller

import (
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/rawpeer"
	"github.com/matryer/is"
)

// Guards against tests and soaks that take a response whose status is no HTTP status for an
// answer: net/http reads "000", and a node that passed it on would not be noticed.
func TestOddStatusIsInvalid(t *testing.T) {
	tests := []struct {
		name, status                string
		answered, failed, isInvalid int
	}{
		{"status 000", "000 OK", 0, 0, 1},
		{"status 099", "099 Odd", 0, 0, 1},
		{"status 600", "600 Odd", 0, 0, 1},
		{"error of the target", "500 Internal Server Error", 0, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, closeListener, err := rawpeer.ListenWith("HTTP/1.1 " + test.status + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			is.NoErr(err)
			defer closeListener()
			l, closeLoad := New(Workload{Entries: []string{address}, Host: "h", Paths: []string{"/x"}, Rate: 1, Until: time.Now().Add(100 * time.Millisecond), Timeout: time.Second, MaxInFlight: 1, Seed: 1})
			defer closeLoad()
			r := l.Run(t.Context())
			is.Equal(r.Sent, 1)
			is.Equal(r.Invalid, test.isInvalid)
			is.Equal(r.Errors, test.failed)
			is.Equal(r.Answered, test.answered)
			is.True(test.isInvalid == 0 || !r.IsCorrect())
		})
	}
}
