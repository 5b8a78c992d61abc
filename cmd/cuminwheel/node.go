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
	"github.com/cuminwheel/cuminwheel/process/logline"
	"github.com/cuminwheel/cuminwheel/process/node"
	"github.com/cuminwheel/cuminwheel/process/settings"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:        "node",
		Usage:       "run the node beside the target of a VM",
		Description: "Reads the settings from the platform's settings file if " + platform.SettingsEnvVar + " names one, otherwise from the flags.",
		Flags:       append(nodeFlags(), logFlags()...),
		Action:      runNode,
	}
}

func nodeFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("entry", "127.0.0.1:7000", "address to serve callers on, IP:port"),
		stringFlag("gate", "127.0.0.1:7001", "address to serve requests of other nodes on, IP:port"),
		stringFlag("control", "127.0.0.1:7002", "address to serve control calls of other nodes on, IP:port"),
		stringFlag("reached-gate", "", "address at which other nodes reach --gate, if it differs"),
		stringFlag("reached-control", "", "address at which other nodes reach --control, if it differs"),
		stringFlag("admin", "127.0.0.1:7003", "address to serve calls of the target beside the node on, IP:port"),
		stringFlag("ready", "127.0.0.1:7004", "address to serve readiness checks on, IP:port"),
		stringFlag("metrics", "127.0.0.1:7005", "address to serve metrics and status on, IP:port"),
		stringFlag("region", "", "region of the VM"),
		stringFlag("data-centre", "", "data centre of the VM"),
		stringFlag("service", "", "service of the target beside the node"),
		stringFlag("target", "127.0.0.1:7006", "address of the target beside the node, IP:port"),
		stringFlag("store", "127.0.0.1:7100", "address of the platform's store, IP:port"),
		&cli.DurationFlag{Name: "announcement-interval", Value: settings.DefaultAnnouncementInterval, Usage: "the time between two announcements of the target", Sources: envVar("announcement-interval")},
		&cli.DurationFlag{Name: "grace", Value: settings.DefaultGracePeriod, Usage: "how long the node may run after SIGTERM", Sources: envVar("grace")},
		&cli.FloatFlag{Name: "retry-ratio", Value: settings.DefaultRetryRatio, Usage: "retries per request, over the whole fleet", Sources: envVar("retry-ratio")},
		&cli.FloatFlag{Name: "retry-slack", Value: settings.DefaultRetrySlack, Usage: "additional retries in each window", Sources: envVar("retry-slack")},
		&cli.DurationFlag{Name: "retry-window", Value: settings.DefaultRetryWindow, Usage: "window of the retry limits", Sources: envVar("retry-window")},
	}
}

// readSettings returns the validated settings of the platform's settings file if the
// environment names one, otherwise those of the flags.
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
		GracePeriod: c.Duration("grace"), AnnouncementInterval: c.Duration("announcement-interval"), RetryRatio: c.Float("retry-ratio"), RetrySlack: c.Float("retry-slack"),
		RetryWindow: c.Duration("retry-window"),
	}
	return s, s.Validate()
}

// memoryLimitRatio is the ratio of the Go runtime's soft memory limit to the memory
// limit of the process. The rest is for memory that the runtime does not count.
const memoryLimitRatio = 0.7

// runNode runs a node until a signal ends it. SIGHUP only reports whether the
// settings have changed.
func runNode(ctx context.Context, c *cli.Command) error {
	s, err := readSettings(c)
	if err != nil {
		return usageError(err)
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryBytes)))
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
		NewAnnouncementHandler: func(r node.AnnouncementReceiver, l hclog.Logger) http.Handler {
			return platform.AnnouncementHandler(r, l)
		},
		ReadyPath:        platform.ReadyPath,
		AnnouncementPath: platform.AnnouncementPath,
	}, logger)
	if err != nil {
		logger.Error("failed to start node", "reason", err)
		return err
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	for {
		select {
		case <-reloads:
			logSettingsChange(c, s, logger)
			continue
		case <-ctx.Done():
		}
		break
	}
	leaveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go handleLeaveSignals(leaveCtx, signals, n, s.GracePeriod, cancel, logger)
	leave(leaveCtx)
	return nil
}

// handleLeaveSignals handles SIGTERM and interrupts that a leaving node receives.
// Each one restarts the grace period; a second interrupt stops the node at once.
func handleLeaveSignals(ctx context.Context, signals <-chan os.Signal, n *node.Node, grace time.Duration, stopNow func(), logger hclog.Logger) {
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
				stopNow()
				return
			}
			n.ExtendLeaveDeadline(time.Now().Add(grace))
			logger.Info("signal received while leaving: grace period restarted", "signal", s)
		}
	}
}

// logSettingsChange reads the settings again and logs whether they differ from those
// that the node runs with. It applies none: settings take effect at the next start.
func logSettingsChange(c *cli.Command, running settings.Settings, logger hclog.Logger) {
	after, err := readSettings(c)
	switch {
	case err != nil:
		logger.Error("cannot read settings; keeping the current ones", "reason", err)
	case after != running:
		logger.Warn("settings changed; restart the node to apply them", "before", running, "after", after)
	default:
		logger.Info("settings unchanged")
	}
}
