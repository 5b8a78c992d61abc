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

// crashExitCode is the exit status of a stand-in that a request has crashed.
const crashExitCode = 70

func standinTargetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a stand-in for a target of a service",
		Flags: []cli.Flag{
			stringFlag("listen", "127.0.0.1:7006", "address to serve on, IP:port"),
			stringFlag("admin", "127.0.0.1:7003", "admin address of the node beside the target"),
			stringFlag("service", "", "service that the target belongs to"),
			&cli.IntFlag{Name: "slots", Value: 3, Usage: "number of requests processed concurrently"},
			&cli.DurationFlag{Name: "work", Value: 20 * time.Millisecond, Usage: "processing time of a request"},
			&cli.DurationFlag{Name: "drain", Value: time.Second, Usage: "how long to keep serving after the node has confirmed that the target drains"},
			&cli.DurationFlag{Name: "late-announcement", Usage: "how long after the node has confirmed that the target drains an earlier announcement arrives again; 0 means never"},
			stringFlag("ran-file", "", "append the ID of each request that starts to this file, for an audit"),
		},
		Action: runStandinTarget,
	}
}

func runStandinTarget(ctx context.Context, c *cli.Command) error {
	startedAt := time.Now()
	announcer := &target.Announcer{
		AdminAddress: c.String("admin"), Instance: fmt.Sprintf("standin-%x", startedAt.UnixNano()), Service: c.String("service"),
		Address: c.String("listen"), Slots: c.Int("slots"), StartedAt: startedAt, DrainTime: c.Duration("drain"),
		LateAfter: c.Duration("late-announcement"),
	}
	announcement := gate.Announcement{Instance: announcer.Instance, Service: announcer.Service, Address: announcer.Address, Slots: announcer.Slots, StartedAt: startedAt}
	if err := announcement.Validate(time.Now()); err != nil {
		return usageError(err)
	}
	ranFile, err := openRanFile(c.String("ran-file"))
	if err != nil {
		return usageError(err)
	}
	defer ranFile.Close()
	announcing, stopAnnouncing := context.WithCancel(context.Background())
	defer stopAnnouncing()
	go announcer.Run(announcing)
	server := target.New(announcer.Instance, announcer.Service, announcer.Slots, c.Duration("work"), ranFile)
	server.OnCrash = func() {
		server.RecordCrash()
		os.Exit(crashExitCode)
	}
	announcer.OnDrainConfirmed = server.MarkDraining
	return serve(ctx, announcer.Address, server.Handler(), func() {
		stopAnnouncing()
		if err := announcer.Deregister(context.Background()); err != nil {
			fmt.Fprintln(os.Stderr, "cuminwheel:", err)
		}
	})
}

// openRanFile opens the file for the IDs of started requests, or the null device if
// the name is empty.
func openRanFile(name string) (*os.File, error) {
	if name == "" {
		name = os.DevNull
	}
	return os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
}
