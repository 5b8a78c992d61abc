package main

import (
	"context"
	"os"
	"time"

	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/pause"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/urfave/cli/v3"
)

func standinTargetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "stand in for a server of a service",
		Flags: []cli.Flag{
			textFlag("listen", "127.0.0.1:7200", "address to serve on, IP:port"),
			textFlag("admin", "127.0.0.1:7003", "admin address of the node beside the target"),
			textFlag("service", "", "service that the target belongs to"),
			&cli.IntFlag{Name: "slots", Value: 3, Usage: "requests worked on at once"},
			&cli.DurationFlag{Name: "work", Value: 20 * time.Millisecond, Usage: "time that a request takes"},
			textFlag("ran-file", "", "file that gets the key of each claim that begins, for an audit"),
			&cli.DurationFlag{Name: "cold-start", Usage: "time before the target announces itself"},
		},
		Action: runStandinTarget,
	}
}

func runStandinTarget(ctx context.Context, c *cli.Command) error {
	a := target.Announcer{
		Admin: c.String("admin"),
		Announcement: gate.Announcement{
			Service: c.String("service"),
			Address: c.String("listen"),
			Slots:   c.Int("slots"),
		},
	}
	if err := a.Check(); err != nil {
		return usageError(err)
	}
	announcing, stopAnnouncing := context.WithCancel(context.Background())
	defer stopAnnouncing()
	go func() {
		pause.For(announcing, c.Duration("cold-start"))
		a.Run(announcing)
	}()
	ranFile, err := openRanFile(c.String("ran-file"))
	if err != nil {
		return usageError(err)
	}
	defer ranFile.Close()
	s := target.New(c.String("service"), c.Int("slots"), c.Duration("work"), ranFile)
	return serveUntil(ctx, c.String("listen"), s.Handler(), func() {
		stopAnnouncing()
		_ = a.Withdraw(context.Background())
	})
}

func openRanFile(name string) (*os.File, error) {
	if name == "" {
		name = os.DevNull
	}
	return os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
}
