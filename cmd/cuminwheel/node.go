package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cuminwheel/cuminwheel/process/node"
	"github.com/cuminwheel/cuminwheel/process/settings"
	"github.com/urfave/cli/v3"
)

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:   "node",
		Usage:  "run the node that stands beside the targets of a VM",
		Flags:  append(nodeFlags(), logFlags()...),
		Action: runNode,
	}
}

func nodeFlags() []cli.Flag {
	return []cli.Flag{
		textFlag("entry", "127.0.0.1:7000", "address for callers, IP:port"),
		textFlag("gate", "127.0.0.1:7001", "address for requests of other nodes, IP:port"),
		textFlag("control", "127.0.0.1:7002", "address for control calls of other nodes, IP:port"),
		textFlag("admin", "127.0.0.1:7003", "address for targets beside the node and for operators, IP:port"),
		textFlag("region", "", "region of the VM"),
		textFlag("data-centre", "", "data centre of the VM"),
		textFlag("log", "127.0.0.1:7100", "address of the platform's log service, IP:port"),
		textFlag("stream", "cuminwheel", "name of the fleet's stream in the log"),
		&cli.StringSliceFlag{Name: "peer", Usage: "control address of a node to start from; may be repeated", Sources: env("peer")},
		&cli.DurationFlag{Name: "clock-bound", Value: 500 * time.Millisecond, Usage: "how far any two clocks may be apart", Sources: env("clock-bound")},
		&cli.DurationFlag{Name: "drain-timeout", Value: 2 * time.Minute, Usage: "how long a leaving node waits for requests in progress", Sources: env("drain-timeout")},
		&cli.IntFlag{Name: "remote-bytes", Usage: "budget on links between regions in bytes a second; 0 sets no bound", Sources: env("remote-bytes")},
	}
}

func runNode(ctx context.Context, c *cli.Command) error {
	s := settings.Settings{
		Entry:                c.String("entry"),
		Gate:                 c.String("gate"),
		Control:              c.String("control"),
		Admin:                c.String("admin"),
		Region:               c.String("region"),
		DataCentre:           c.String("data-centre"),
		Log:                  c.String("log"),
		Stream:               c.String("stream"),
		Peers:                c.StringSlice("peer"),
		ClockBound:           c.Duration("clock-bound"),
		DrainTimeout:         c.Duration("drain-timeout"),
		RemoteBytesPerSecond: c.Int("remote-bytes"),
	}
	if err := s.Check(); err != nil {
		return usageError(err)
	}
	_, stop, err := node.Start(s, newLogger(c))
	if err != nil {
		return err
	}
	<-ctx.Done()
	// A second signal ends the node at once.
	limit, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	limit, cancelTimeout := context.WithTimeout(limit, s.DrainTimeout)
	defer cancelTimeout()
	return stop(limit)
}
