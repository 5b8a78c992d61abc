package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cuminwheel/cuminwheel/soak"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run a fleet of separate processes under random faults and check the responses to callers",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the first run"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of runs, with consecutive seeds"},
			&cli.IntFlag{Name: "nodes", Value: 8, Usage: "number of nodes, 2 to 100"},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "how long faults are injected in each run"},
			&cli.FloatFlag{Name: "rate", Value: 80, Usage: "requests per second"},
			&cli.IntFlag{Name: "base-port", Value: 21000, Usage: "first port of the run, which uses 20 for each node and 20 more"},
			stringFlag("logs", "", "directory for the logs of the processes; empty means a new temporary one"),
			&cli.BoolFlag{Name: "verbose", Usage: "print each fault"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	if n := c.Int("nodes"); n < 2 || n > 100 {
		return usageError(errors.New("--nodes: must be from 2 to 100"))
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	logs := c.String("logs")
	if logs == "" {
		if logs, err = os.MkdirTemp("", "cuminwheel-soak"); err != nil {
			return err
		}
	}
	out := io.Discard
	if c.Bool("verbose") {
		out = c.Root().Writer
	}
	failed := 0
	for i := range c.Int("seeds") {
		seed := c.Uint64("seed") + uint64(i)
		report, err := soak.Run(ctx, soak.Options{
			Program: program, Seed: seed, Nodes: c.Int("nodes"), Duration: c.Duration("length"), BasePort: c.Int("base-port"),
			LogDir: filepath.Join(logs, fmt.Sprintf("seed%d", seed)), Rate: c.Float("rate"), Out: out,
		})
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		if len(report.Violations) > 0 {
			failed++
		}
		if err := json.NewEncoder(c.Root().Writer).Encode(report); err != nil {
			return err
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds violated a guarantee; logs are in %s", failed, c.Int("seeds"), logs)
	}
	return nil
}
