package main

import (
	"context"

	"github.com/cuminwheel/cuminwheel/standin/store"
	"github.com/urfave/cli/v3"
)

func standinStoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "run a stand-in for the platform's store",
		Flags: []cli.Flag{
			stringFlag("listen", "127.0.0.1:7100", "address to serve on, IP:port"),
			&cli.BoolFlag{Name: "outage", Usage: "start with an outage; standin fault ends it"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := store.New()
			s.SetFaults(store.Faults{Outage: c.Bool("outage")})
			return serve(ctx, c.String("listen"), s.Handler(), func() {})
		},
	}
}
