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
			stringFlag("store", "127.0.0.1:7100", "address of the platform's store, IP:port"),
			&cli.DurationFlag{Name: "patience", Value: 5 * time.Second, Usage: "how long to retry while the store does not respond or is busy"},
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

// readDraft reads and checks the configuration that the argument names.
func readDraft(c *cli.Command) (configuration.Draft, error) {
	if c.Args().Len() != 1 {
		return configuration.Draft{}, usageError(errors.New("expected one configuration file, or - for standard input"))
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

// publishRetryInterval is the time between two attempts to publish to a store that
// does not respond or is busy.
const publishRetryInterval = 200 * time.Millisecond

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
	deadline := time.Now().Add(c.Duration("patience"))
	for {
		err := publish(ctx, store, d.Version, encoded)
		if err == nil {
			fmt.Fprintf(c.Root().Writer, "published: version %d\n", d.Version)
			return nil
		}
		retryable := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrNoResponse) || errors.Is(err, platform.ErrConflict)
		if !retryable || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		time.Sleep(publishRetryInterval)
	}
}

// publish writes the configuration unless the store has its version or a later
// one. It succeeds if the store already has this very configuration: an earlier
// attempt that got no response may have taken effect. The write is conditional on what
// was read, so that neither a late write nor one of another operator is lost or replaces
// a later version.
func publish(ctx context.Context, store *platform.Store, version uint64, encoded []byte) error {
	read, err := platform.NewConfigurationSource(store).Newest(ctx)
	if err != nil {
		return errors.Wrap(err, "read the newest configuration")
	}
	if newest := read.Newest(); newest != nil {
		current, err := platform.DecodeConfiguration(newest)
		switch {
		case err != nil:
			return err
		case current.Version == version && string(newest) == string(encoded):
			return nil
		case current.Version >= version:
			return &exitError{code: exitConflict, err: errors.Errorf(
				"not published: the store has version %d; base the change on it and publish a higher version", current.Version)}
		}
	}
	return store.PutAt(ctx, platform.ConfigurationTopic, platform.ConfigurationKey, encoded, read.Next.Offset)
}
