package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/logservice"
	"github.com/cuminwheel/cuminwheel/process/pause"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
)

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish a configuration to the platform's log",
		ArgsUsage: "FILE (or - for standard input)",
		Flags: []cli.Flag{
			textFlag("log", "127.0.0.1:7100", "address of the platform's log service, IP:port"),
			textFlag("stream", "cuminwheel", "name of the fleet's stream in the log"),
			textFlag("node", "127.0.0.1:7002", "control address of any node, which tells the outcome"),
			textFlag("author", os.Getenv("USER"), "name of the operator"),
			&cli.Int64Flag{Name: "base", Value: -1, Usage: "configuration version that the change was made from; without it, the version in force at the node"},
			&cli.DurationFlag{Name: "patience", Usage: "wait so long for the node to be there"},
			&cli.DurationFlag{Name: "wait", Usage: "wait so long until each known node has the change in force"},
		},
		Action: runPublish,
	}
}

// publisher carries one publish through.
type publisher struct {
	fleet  fleet
	log    *logservice.Client
	node   string
	author string
	out    io.Writer
}

// Timing of a publish.
const (
	publishTimeout = 30 * time.Second
	pollInterval   = 100 * time.Millisecond
	// settleTime is how long an append without an answer may take to show in
	// the log before it is appended again under the same id.
	settleTime = 3 * time.Second
)

func runPublish(ctx context.Context, c *cli.Command) error {
	change, err := readChange(c)
	if err != nil {
		return err
	}
	if c.String("author") == "" {
		return usageError(errors.New("--author: name the operator, so that others can see who published"))
	}
	f, closeFleet := newFleet()
	defer closeFleet()
	logs, closeLogs := logservice.NewClient(c.String("log"), c.String("stream"))
	defer closeLogs()
	p := publisher{fleet: f, log: logs, node: c.String("node"), author: c.String("author"), out: c.Root().Writer}
	p.awaitNode(ctx, time.Now().Add(c.Duration("patience")))
	base := c.Int64("base")
	if base < 0 {
		now, err := f.version(ctx, p.node)
		if err != nil {
			return err
		}
		base = now.Version
	}
	record := ledger.Record{ID: uuid.NewString(), Kind: ledger.KindChange, Author: p.author, Base: base, Change: &change}
	d, err := p.publish(ctx, record)
	if err != nil {
		return err
	}
	if err := p.report(d, base); err != nil {
		return err
	}
	if wait := c.Duration("wait"); wait > 0 {
		return p.awaitFleet(ctx, d, time.Now().Add(wait))
	}
	return nil
}

// awaitNode waits until the node is ready to tell of the log.
func (p publisher) awaitNode(ctx context.Context, until time.Time) {
	for time.Now().Before(until) && ctx.Err() == nil {
		if reply, err := p.fleet.version(ctx, p.node); err == nil && reply.Ready {
			return
		}
		pause.For(ctx, pollInterval)
	}
}

// publish appends the record and returns what the fold made of it. The append
// is repeated only under the same id, of which only the first counts.
func (p publisher) publish(ctx context.Context, r ledger.Record) (ledger.Decision, error) {
	raw, err := r.Encode()
	if err != nil {
		return ledger.Decision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	for {
		_, err := p.log.Append(ctx, raw)
		switch {
		case errors.Is(err, logservice.ErrUnavailable), errors.Is(err, logservice.ErrTooLarge):
			return ledger.Decision{}, errors.Wrap(err, "nothing was published")
		case err != nil:
			fmt.Fprintln(p.out, "the log gave no answer; looking for the record", r.ID)
		}
		settled := time.Now().Add(settleTime)
		if err == nil {
			settled = time.Now().Add(publishTimeout)
		}
		d, known := p.awaitDecision(ctx, r.ID, settled)
		if known {
			return d, nil
		}
		if ctx.Err() != nil {
			return d, errors.Errorf("outcome unknown: record %s may be in the log; ask `cuminwheel status` before publishing again", r.ID)
		}
	}
}

func (p publisher) awaitDecision(ctx context.Context, id string, until time.Time) (ledger.Decision, bool) {
	for time.Now().Before(until) && ctx.Err() == nil {
		d, known, err := p.fleet.decision(ctx, p.node, id)
		if err == nil && known {
			return d, true
		}
		pause.For(ctx, pollInterval)
	}
	return ledger.Decision{}, false
}

func (p publisher) report(d ledger.Decision, base int64) error {
	switch {
	case d.Accepted:
		fmt.Fprintf(p.out, "published: version %d\n", d.Offset+1)
		return nil
	case d.Code == ledger.DecisionConflict:
		return &exitError{code: exitConflict, err: errors.Errorf(
			"not published: %s published version %d since base %d (%s); read the new state with `cuminwheel status`, "+
				"redo the change and publish with --base %d", d.Winner, d.WinnerVersion, base, d.Reason, d.WinnerVersion)}
	}
	return errors.Errorf("not published: %s: %s", d.Code, d.Reason)
}

// awaitFleet waits until each known node has folded the decision's record.
func (p publisher) awaitFleet(ctx context.Context, d ledger.Decision, until time.Time) error {
	s, err := p.fleet.status(ctx, p.node)
	if err != nil {
		return err
	}
	missing := living(s)
	total := len(missing)
	for len(missing) > 0 && time.Now().Before(until) && ctx.Err() == nil {
		var still []string
		for _, address := range missing {
			reply, err := p.fleet.version(ctx, address)
			if err != nil || reply.Next <= d.Offset {
				still = append(still, address)
			}
		}
		missing = still
		if len(missing) > 0 {
			pause.For(ctx, pollInterval)
		}
	}
	if len(missing) > 0 {
		return errors.Errorf("not yet in force at %d of %d nodes: %s", len(missing), total, strings.Join(missing, ", "))
	}
	fmt.Fprintf(p.out, "in force at all %d nodes\n", total)
	return nil
}
