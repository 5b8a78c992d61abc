// Command cuminwheel runs a node of the proxy fleet, publishes its
// configuration and shows its state. It also holds the stand-ins that the demo
// and the tests use in place of the platform, the targets and the callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes of the command.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// exitError carries the exit code that an error ends the command with.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func usageError(err error) error { return &exitError{code: exitUsage, err: err} }

func main() { os.Exit(run(os.Args)) }

// run executes the command line and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := newApp().Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "cuminwheel:", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailed
}

func newApp() *cli.Command {
	return &cli.Command{
		Name:                  "cuminwheel",
		Usage:                 "a proxy fleet for targets with gray failures",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return usageError(err)
		},
		Commands: []*cli.Command{
			nodeCommand(),
			publishCommand(),
			checkCommand(),
			statusCommand(),
			standinCommand(),
			experimentCommand(),
			soakCommand(),
		},
	}
}
