package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/target"
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

// shutdownTimeout bounds how long a stand-in waits for requests in progress.
const shutdownTimeout = 20 * time.Second

// serve serves h on address until ctx is done. It then calls beforeShutdown, while
// requests are still accepted, and shuts the server down.
func serve(ctx context.Context, address string, h http.Handler, beforeShutdown func()) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return usageError(errors.Wrap(err, "--listen"))
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ConnContext: target.ConnContext}
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(l) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	beforeShutdown()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return s.Shutdown(shutdownCtx)
}
