// Command cuminwheel runs a node of the proxy fleet, checks and publishes the
// fleet's configuration, and shows the state of a node.
//
// It also contains stand-ins for the platform's store, targets and callers, which
// the demo and the tests use, the soak test of a fleet of processes, and the
// experiments that compare policies in virtual time.
//
// The exit code is 0 on success, 1 on failure, 2 if the command line, a setting or
// a file is invalid, and 3 if a configuration was not published because the store
// has a later version, or another configuration of the same version.
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

// exitError is an error that determines the exit code of the command.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// usageError marks an error as one of the command line, the settings or the input.
func usageError(err error) error { return &exitError{code: exitUsage, err: err} }

func main() { os.Exit(run(os.Args)) }

// run executes the command line and returns the exit code. SIGTERM and interrupts
// cancel the context of the command.
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
			explainCommand(),
			standinCommand(),
			experimentCommand(),
			soakCommand(),
		},
	}
}
