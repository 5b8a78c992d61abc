package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/caller"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

func standinCallerCommand() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "stand in for callers: send load, check answers, audit claims",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "entry address of a node; may be repeated", Required: true},
			textFlag("host", "roster.example", "host of all requests"),
			&cli.StringSliceFlag{Name: "path", Usage: "path to read; may be repeated", Required: true},
			&cli.StringSliceFlag{Name: "claim-path", Usage: "path to claim at; may be repeated"},
			&cli.StringSliceFlag{Name: "audit-file", Usage: "--ran-file of a stand-in target, read at the end; may be repeated"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "requests a second"},
			&cli.FloatFlag{Name: "claim-share", Value: 0.3, Usage: "share of requests that are claims"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "how long to send"},
			&cli.DurationFlag{Name: "timeout", Value: 2 * time.Second, Usage: "bound of each request"},
			&cli.IntFlag{Name: "in-flight", Value: 1000, Usage: "most requests open at once"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			textFlag("output", "table", "table or json"),
		},
		Action: runStandinCaller,
	}
}

// maxRate bounds the load that the stand-in sends.
const maxRate = 20_000

func runStandinCaller(ctx context.Context, c *cli.Command) error {
	rate := c.Float("rate")
	if rate <= 0 || rate > maxRate {
		return usageError(errors.Errorf("--rate: give a number above 0 and up to %d", maxRate))
	}
	l, closeLoad := caller.New(caller.Workload{
		Entries:     c.StringSlice("entry"),
		Paths:       c.StringSlice("path"),
		ClaimPaths:  c.StringSlice("claim-path"),
		ClaimShare:  c.Float("claim-share"),
		Rate:        rate,
		Until:       time.Now().Add(c.Duration("duration")),
		Timeout:     c.Duration("timeout"),
		Host:        c.String("host"),
		MaxInFlight: c.Int("in-flight"),
		Seed:        c.Uint64("seed"),
	})
	defer closeLoad()
	r := l.Run(ctx)
	if audit := c.StringSlice("audit-file"); len(audit) > 0 {
		ran, err := caller.ReadExecutions(audit)
		if err != nil {
			return err
		}
		r = l.Audit(r, ran)
	}
	if err := printReport(c, r); err != nil {
		return err
	}
	if !r.IsCorrect() {
		return errors.New("a promise was broken: see doubled, lost, foreign or falsely not run above")
	}
	return nil
}

func printReport(c *cli.Command, r caller.Report) error {
	if c.String("output") == "json" {
		return json.NewEncoder(c.Root().Writer).Encode(r)
	}
	return r.Print(c.Root().Writer)
}
