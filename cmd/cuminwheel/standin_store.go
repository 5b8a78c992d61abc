package main

import (
	"context"

	"github.com/cuminwheel/cuminwheel/standin/store"
	"github.com/urfave/cli/v3"
)

func standinStoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "stand in for the platform's store",
		Flags: []cli.Flag{
			textFlag("listen", "127.0.0.1:7100", "address to serve on, IP:port"),
			&cli.BoolFlag{Name: "outage", Usage: "start with an outage"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := store.New()
			s.SetFaults(store.Faults{Outage: c.Bool("outage")})
			return serveUntil(ctx, c.String("listen"), s.Handler(), func() {})
		},
	}
}
