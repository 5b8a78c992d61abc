package main

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/caller"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

func standinCallerCommand() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "run stand-in callers: send requests, check the responses, audit the claims",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "entry address of a node; may be repeated", Required: true},
			stringFlag("host", "roster.example", "Host header of all requests"),
			&cli.StringSliceFlag{Name: "path", Usage: "path to read; may be repeated", Required: true},
			&cli.StringSliceFlag{Name: "claim-path", Usage: "path to post claims to; may be repeated"},
			&cli.StringSliceFlag{Name: "audit-file", Usage: "--ran-file of a stand-in target, read for the audit at the end; may be repeated"},
			&cli.StringSliceFlag{Name: "key", Usage: "key to send, and the customer that targets must get for it, as KEY=CUSTOMER or KEY; may be repeated"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "requests per second"},
			&cli.FloatFlag{Name: "claim-share", Value: 0.3, Usage: "share of requests that are claims"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "how long to send requests"},
			&cli.DurationFlag{Name: "timeout", Value: 2 * time.Second, Usage: "timeout of each request"},
			&cli.IntFlag{Name: "in-flight", Value: 1000, Usage: "maximum number of concurrent requests"},
			&cli.IntFlag{Name: "returns", Usage: "how often a refused request is sent again after its Retry-After"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random choices"},
			stringFlag("output", "table", "output format: table or json"),
		},
		Action: runStandinCaller,
	}
}

// maxRate is the maximum of --rate, in requests per second.
const maxRate = 20_000

func runStandinCaller(ctx context.Context, c *cli.Command) error {
	rate := c.Float("rate")
	if rate <= 0 || rate > maxRate {
		return usageError(errors.Errorf("--rate: must be above 0 and at most %d", maxRate))
	}
	generator, closeGenerator := caller.New(caller.Workload{
		Entries:     c.StringSlice("entry"),
		Paths:       c.StringSlice("path"),
		ClaimPaths:  c.StringSlice("claim-path"),
		ClaimShare:  c.Float("claim-share"),
		Rate:        rate,
		Until:       time.Now().Add(c.Duration("duration")),
		Timeout:     c.Duration("timeout"),
		Host:        c.String("host"),
		MaxInFlight: c.Int("in-flight"),
		MaxReturns:  c.Int("returns"),
		Seed:        c.Uint64("seed"),
		Credentials: parseCredentials(c.StringSlice("key")),
	})
	defer closeGenerator()
	report := generator.Run(ctx)
	if auditFiles := c.StringSlice("audit-file"); len(auditFiles) > 0 {
		executions, err := caller.ReadExecutions(auditFiles)
		if err != nil {
			return err
		}
		report = generator.Audit(report, executions)
	}
	if err := printReport(c, report); err != nil {
		return err
	}
	if !report.IsCorrect() {
		return errors.New("a guarantee was violated: the report above has claims executed more than once, or requests that were answered but not executed, got a wrong response, were refused but executed, started after the drain, or reached a target with a wrong customer or a key")
	}
	return nil
}

// parseCredentials parses the values of --key.
func parseCredentials(values []string) (credentials []caller.Credential) {
	for _, v := range values {
		key, customer, _ := strings.Cut(v, "=")
		credentials = append(credentials, caller.Credential{Key: key, Customer: customer})
	}
	return credentials
}

func printReport(c *cli.Command, report caller.Report) error {
	if c.String("output") == "json" {
		return json.NewEncoder(c.Root().Writer).Encode(report)
	}
	return report.Print(c.Root().Writer)
}
