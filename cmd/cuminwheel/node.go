package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cuminwheel/cuminwheel/platform"
	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/logline"
	"github.com/cuminwheel/cuminwheel/process/node"
	"github.com/cuminwheel/cuminwheel/process/settings"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:        "node",
		Usage:       "run the node that stands beside the target of a VM",
		Description: "Settings come from the platform's settings file if " + platform.SettingsEnvVar + " names one, and else from the flags.",
		Flags:       append(nodeFlags(), logFlags()...),
		Action:      runNode,
	}
}

func nodeFlags() []cli.Flag {
	return []cli.Flag{
		textFlag("entry", "127.0.0.1:7000", "address for callers, IP:port"),
		textFlag("gate", "127.0.0.1:7001", "address for requests of other nodes, IP:port"),
		textFlag("control", "127.0.0.1:7002", "address for control calls of other nodes, IP:port"),
		textFlag("reached-gate", "", "address at which other nodes reach --gate, if another"),
		textFlag("reached-control", "", "address at which other nodes reach --control, if another"),
		textFlag("admin", "127.0.0.1:7003", "address for the target beside the node, IP:port"),
		textFlag("ready", "127.0.0.1:7004", "address for questions whether the node takes callers, IP:port"),
		textFlag("metrics", "127.0.0.1:7005", "address for metrics and status, IP:port"),
		textFlag("region", "", "region of the VM"),
		textFlag("data-centre", "", "data centre of the VM"),
		textFlag("service", "", "service of the target beside the node"),
		textFlag("target", "127.0.0.1:7006", "address of the target beside the node, IP:port"),
		textFlag("store", "127.0.0.1:7100", "address of the platform's store, IP:port"),
		&cli.DurationFlag{Name: "grace", Value: settings.DefaultGracePeriod, Usage: "how long a leaving node may take", Sources: env("grace")},
		&cli.FloatFlag{Name: "retry-ratio", Value: settings.DefaultRetryRatio, Usage: "repeated sends for each request, over the fleet", Sources: env("retry-ratio")},
		&cli.FloatFlag{Name: "retry-slack", Value: settings.DefaultRetrySlack, Usage: "repeated sends besides, in each window", Sources: env("retry-slack")},
		&cli.DurationFlag{Name: "retry-window", Value: settings.DefaultRetryWindow, Usage: "window of the bounds on repeated sends", Sources: env("retry-window")},
	}
}

func readSettings(c *cli.Command) (settings.Settings, error) {
	if path := os.Getenv(platform.SettingsEnvVar); path != "" {
		return platform.ReadSettings(path)
	}
	s := settings.Settings{
		Name: c.String("control"), Entry: c.String("entry"), Gate: c.String("gate"), Control: c.String("control"),
		Admin: c.String("admin"), Ready: c.String("ready"), Metrics: c.String("metrics"),
		AdvertisedGate: c.String("reached-gate"), AdvertisedControl: c.String("reached-control"),
		Region: c.String("region"), DataCentre: c.String("data-centre"),
		Service: c.String("service"), Target: c.String("target"), Store: c.String("store"),
		GracePeriod: c.Duration("grace"), RetryRatio: c.Float("retry-ratio"), RetrySlack: c.Float("retry-slack"),
		RetryWindow: c.Duration("retry-window"),
	}
	return s, s.Validate()
}

// memoryShare of the process's limit is what the garbage collector works to
// stay below; the rest is for what it does not count.
const memoryShare = 0.7

func runNode(ctx context.Context, c *cli.Command) error {
	s, err := readSettings(c)
	if err != nil {
		return usageError(err)
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	lines, flush := logline.New(os.Stdout)
	defer flush()
	logger := newLogger(c, lines)
	store, closeStore := platform.NewStore(s.Store)
	defer closeStore()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	n, leave, err := node.Start(s, node.Platform{
		Headers:             platform.Headers{},
		DecodeConfiguration: platform.DecodeConfiguration,
		ConfigurationSource: platform.NewConfigurationSource(store),
		Registry:            platform.NewNodeRegistry(store),
		NewAnnouncementHandler: func(g *gate.Gate, l hclog.Logger) http.Handler {
			return platform.AnnouncementHandler(g, l)
		},
		ReadyPath:        platform.ReadyPath,
		AnnouncementPath: platform.AnnouncementPath,
	}, logger)
	if err != nil {
		logger.Error("node did not start", "reason", err)
		return err
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	for {
		select {
		case <-reloads:
			reload(c, s, logger)
			continue
		case <-ctx.Done():
		}
		break
	}
	limit, cancel := context.WithCancel(context.Background())
	defer cancel()
	go followSignals(limit, signals, n, s.GracePeriod, cancel, logger)
	leave(limit)
	return nil
}

// followSignals takes in the signals that come to a leaving node: a further
// SIGTERM begins the grace time anew, a second interrupt ends the node at once.
func followSignals(ctx context.Context, signals <-chan os.Signal, n *node.Node, grace time.Duration, endNow func(), logger hclog.Logger) {
	interrupts := 0
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s == os.Interrupt {
				interrupts++
			}
			if interrupts > 1 {
				endNow()
				return
			}
			n.ExtendLeaveDeadline(time.Now().Add(grace))
			logger.Info("signal taken while leaving", "signal", s)
		}
	}
}

// reload reads the settings again and tells what changed.
func reload(c *cli.Command, before settings.Settings, logger hclog.Logger) {
	after, err := readSettings(c)
	switch {
	case err != nil:
		logger.Error("settings cannot be read; those in force stay", "reason", err)
	case after != before:
		logger.Warn("settings changed; they are in force after a restart", "before", before, "after", after)
	default:
		logger.Info("settings read again; nothing changed")
	}
}
