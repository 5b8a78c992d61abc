package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for the platform's store, a target or callers",
		Commands: []*cli.Command{
			standinStoreCommand(),
			standinTargetCommand(),
			standinCallerCommand(),
			standinFaultCommand(),
		},
	}
}

// drainTime bounds how long a stand-in waits for requests in progress.
const drainTime = 20 * time.Second

// serveUntil serves h on address until ctx is done; leave runs before the
// server drains.
func serveUntil(ctx context.Context, address string, h http.Handler, leave func()) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return usageError(errors.Wrap(err, "--listen"))
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	leave()
	limit, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	return s.Shutdown(limit)
}
