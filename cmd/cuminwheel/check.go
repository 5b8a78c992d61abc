package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration without publishing it",
		ArgsUsage: "FILE (or - for standard input)",
		Action: func(_ context.Context, c *cli.Command) error {
			change, err := readChange(c)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer, "ok: %d services, %d customers, %d removals\n",
				len(change.Services), len(change.Customers), len(change.RemoveServices)+len(change.RemoveCustomers))
			return err
		},
	}
}

// readChange reads the configuration that the command's one argument names.
func readChange(c *cli.Command) (configuration.Change, error) {
	if c.Args().Len() != 1 {
		return configuration.Change{}, usageError(errors.New("name one configuration file, or - for standard input"))
	}
	name := c.Args().First()
	var r io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return configuration.Change{}, usageError(err)
		}
		defer f.Close()
		r = f
	}
	change, err := configuration.ParseChange(r)
	if err != nil {
		return change, usageError(errors.Wrapf(err, "faults in %s", name))
	}
	return change, nil
}
