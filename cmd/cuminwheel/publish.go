package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cuminwheel/cuminwheel/platform"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish a configuration to the platform's store",
		ArgsUsage: "FILE (or - for standard input)",
		Flags: []cli.Flag{
			textFlag("store", "127.0.0.1:7100", "address of the platform's store, IP:port"),
			&cli.DurationFlag{Name: "patience", Value: 5 * time.Second, Usage: "wait so long for the store"},
		},
		Action: runPublish,
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration without publishing it",
		ArgsUsage: "FILE (or - for standard input)",
		Action: func(_ context.Context, c *cli.Command) error {
			d, err := readDraft(c)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "ok: version %d, %d services, %d routes\n", d.Version, len(d.Services), len(d.Routes))
			return nil
		},
	}
}

func readDraft(c *cli.Command) (configuration.Draft, error) {
	if c.Args().Len() != 1 {
		return configuration.Draft{}, usageError(errors.New("name one configuration file, or - for standard input"))
	}
	var r io.Reader = os.Stdin
	if name := c.Args().First(); name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return configuration.Draft{}, usageError(err)
		}
		defer f.Close()
		r = f
	}
	d, err := configuration.ReadDraft(r)
	if err != nil {
		return d, usageError(err)
	}
	return d, nil
}

// publishPause lies between two calls to a store that does not answer.
const publishPause = 200 * time.Millisecond

func runPublish(ctx context.Context, c *cli.Command) error {
	d, err := readDraft(c)
	if err != nil {
		return err
	}
	encoded, err := platform.EncodeConfiguration(d)
	if err != nil {
		return err
	}
	store, closeStore := platform.NewStore(c.String("store"))
	defer closeStore()
	until := time.Now().Add(c.Duration("patience"))
	for {
		err := publish(ctx, store, d.Version, encoded)
		if err == nil {
			fmt.Fprintf(c.Root().Writer, "published: version %d\n", d.Version)
			return nil
		}
		temporary := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrNoResponse)
		if !temporary || time.Now().After(until) || ctx.Err() != nil {
			return err
		}
		time.Sleep(publishPause)
	}
}

// publish writes the configuration unless the store has its version or a later
// one. After a call without an answer the same version counts as published.
func publish(ctx context.Context, store *platform.Store, version uint64, encoded []byte) error {
	newest, _, err := platform.NewConfigurationSource(store).Newest(ctx)
	if err != nil {
		return errors.Wrap(err, "read the configuration in force")
	}
	if newest != nil {
		inForce, err := platform.DecodeConfiguration(newest)
		switch {
		case err != nil:
			return err
		case inForce.Version == version && string(newest) == string(encoded):
			return nil
		case inForce.Version >= version:
			return &exitError{code: exitConflict, err: errors.Errorf(
				"not published: version %d is in force; start from it and publish a higher one", inForce.Version)}
		}
	}
	return store.Put(ctx, platform.ConfigurationTopic, platform.ConfigurationKey, encoded)
}
