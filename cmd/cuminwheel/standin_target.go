package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/urfave/cli/v3"
)

func standinTargetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "stand in for a server of a service",
		Flags: []cli.Flag{
			textFlag("listen", "127.0.0.1:7006", "address to serve on, IP:port"),
			textFlag("admin", "127.0.0.1:7003", "admin address of the node beside the target"),
			textFlag("service", "", "service that the target belongs to"),
			&cli.IntFlag{Name: "slots", Value: 3, Usage: "requests worked on at once"},
			&cli.DurationFlag{Name: "work", Value: 20 * time.Millisecond, Usage: "time that a request takes"},
			&cli.DurationFlag{Name: "drain", Value: time.Second, Usage: "how long to serve on after saying that it leaves"},
			textFlag("ran-file", "", "file that gets the id of each request that begins, for an audit"),
		},
		Action: runStandinTarget,
	}
}

func runStandinTarget(ctx context.Context, c *cli.Command) error {
	born := time.Now()
	a := &target.Announcer{
		AdminAddress: c.String("admin"), Instance: fmt.Sprintf("standin-%x", born.UnixNano()), Service: c.String("service"),
		Address: c.String("listen"), Slots: c.Int("slots"), StartedAt: born, DrainTime: c.Duration("drain"),
	}
	checked := gate.Announcement{Instance: a.Instance, Service: a.Service, Address: a.Address, Slots: a.Slots, StartedAt: born}
	if err := checked.Validate(); err != nil {
		return usageError(err)
	}
	ranFile, err := openRanFile(c.String("ran-file"))
	if err != nil {
		return usageError(err)
	}
	defer ranFile.Close()
	announcing, stopAnnouncing := context.WithCancel(context.Background())
	defer stopAnnouncing()
	go a.Run(announcing)
	s := target.New(a.Instance, a.Service, a.Slots, c.Duration("work"), ranFile)
	a.OnDrainConfirmed = s.MarkDraining
	return serveUntil(ctx, a.Address, s.Handler(), func() {
		stopAnnouncing()
		if err := a.Deregister(context.Background()); err != nil {
			fmt.Fprintln(os.Stderr, "cuminwheel:", err)
		}
	})
}

func openRanFile(name string) (*os.File, error) {
	if name == "" {
		name = os.DevNull
	}
	return os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
}
