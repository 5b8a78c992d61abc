package main

import (
	"context"

	"github.com/cuminwheel/cuminwheel/standin/logservice"
	"github.com/urfave/cli/v3"
)

func standinLogCommand() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "stand in for the platform's append-only log",
		Flags: []cli.Flag{
			textFlag("listen", "127.0.0.1:7100", "address to serve on, IP:port"),
			&cli.IntFlag{Name: "keep", Value: 100_000, Usage: "records that each stream keeps"},
			&cli.BoolFlag{Name: "outage", Usage: "start with an outage"},
			&cli.IntFlag{Name: "delay-ms", Usage: "delay each call"},
			&cli.IntFlag{Name: "lose-answers", Usage: "lose the answers to this many appends"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := logservice.New(c.Int("keep"))
			s.SetFaults(logservice.Faults{
				Outage:      c.Bool("outage"),
				DelayMillis: c.Int("delay-ms"),
				LoseAnswers: c.Int("lose-answers"),
			})
			return serveUntil(ctx, c.String("listen"), s.Handler(), func() {})
		},
	}
}
