package main

import (
	"strings"
	"testing"

	"github.com/cuminwheel/cuminwheel/standin/rawpeer"
	"github.com/matryer/is"
)

// Guards against a status that is printed as that of a node although the response is none:
// net/http reads the status 000.
func TestStatusNeedsAnOKResponse(t *testing.T) {
	tests := []struct {
		name, status, wantErr string
	}{
		{"status 000", "000 OK", "status 000"},
		{"another server", "404 Not Found", "status 404"},
		{"a node", "200 OK", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, closeListener, err := rawpeer.ListenWith("HTTP/1.1 " + test.status + "\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
			is.NoErr(err)
			defer closeListener()
			command := statusCommand()
			var out strings.Builder
			command.Writer = &out
			err = command.Run(t.Context(), []string{"status", "--metrics", address})
			if test.wantErr == "" {
				is.NoErr(err)
				is.Equal(out.String(), "{}")
				return
			}
			is.True(err != nil && strings.Contains(err.Error(), test.wantErr))
			is.Equal(out.String(), "")
		})
	}
}
