package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/cuminwheel/cuminwheel/process/entry"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// maxKeyBytes bounds the file with the caller's key.
const maxKeyBytes = 8 << 10

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "tell where a node would send a request now, and why, without sending it",
		Flags: []cli.Flag{
			stringFlag("metrics", "127.0.0.1:7005", "metrics address of the node, IP:port"),
			&cli.StringFlag{Name: "host", Usage: "host of the request"},
			&cli.StringFlag{Name: "path", Value: "/", Usage: "path of the request, with its query"},
			&cli.StringFlag{Name: "method", Value: http.MethodGet, Usage: "method of the request"},
			&cli.StringFlag{Name: "key-file", Usage: "file with the caller's key; - reads standard input"},
			&cli.Int64Flag{Name: "deadline-ms", Usage: "time until the caller's deadline in ms; 0 means none"},
			&cli.Int64Flag{Name: "body-bytes", Usage: "size of the body"},
			&cli.BoolFlag{Name: "json", Usage: "print the node's response in JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			key, err := readKey(c.String("key-file"), c.Root().Reader)
			if err != nil {
				return usageError(err)
			}
			q := entry.Inquiry{
				Host: c.String("host"), Path: c.String("path"), Method: c.String("method"), Key: key,
				DeadlineMillis: c.Int64("deadline-ms"), BodyBytes: c.Int64("body-bytes"),
			}
			if err := q.Validate(); err != nil {
				return usageError(err)
			}
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			raw, err := requestExplanation(ctx, c.String("metrics"), q)
			if err != nil {
				return err
			}
			w := c.Root().Writer
			if c.Bool("json") {
				_, err = w.Write(raw)
				return err
			}
			var x entry.Explanation
			if err := json.Unmarshal(raw, &x); err != nil {
				return errors.Wrap(err, "decode the node's response")
			}
			writeExplanation(w, x)
			return nil
		},
	}
}

// readKey returns the key in a file, or "" without a file name.
func readKey(name string, stdin io.Reader) (string, error) {
	r := stdin
	switch name {
	case "":
		return "", nil
	case "-":
	default:
		f, err := os.Open(name)
		if err != nil {
			return "", errors.Wrap(err, "key-file: name a file that can be read")
		}
		defer f.Close()
		r = f
	}
	b, err := io.ReadAll(io.LimitReader(r, maxKeyBytes+1))
	if err != nil {
		return "", errors.Wrap(err, "key-file: name a file that can be read")
	}
	key := strings.TrimRight(string(b), "\r\n")
	if key == "" || len(b) > maxKeyBytes {
		return "", errors.Errorf("key-file: write the key alone into the file, at most %d bytes", maxKeyBytes)
	}
	return key, nil
}

// requestExplanation asks the node.
func requestExplanation(ctx context.Context, address string, q entry.Inquiry) ([]byte, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/explain", bytes.NewReader(body))
	if err != nil {
		return nil, usageError(errors.New("metrics: set an address, IP:port"))
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "request an explanation from the node")
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read the node's response")
	}
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the node refused the request with status %d: %s", res.StatusCode, bytes.TrimSpace(raw))
	}
	return raw, nil
}

// writeExplanation writes an explanation as text.
func writeExplanation(w io.Writer, x entry.Explanation) {
	fmt.Fprintf(w, "configuration %d\n", x.ConfigurationVersion)
	if r := x.Route; r != nil {
		fmt.Fprintf(w, "route %s: host %s, prefix %s, idempotent %t, public %t, balancing %s\n", r.Name, r.Host, r.Prefix, r.Idempotent, r.Public, r.Balancing)
	}
	if c := x.Customer; c != nil {
		fmt.Fprintf(w, "customer %s: priority %d", c.Name, c.Priority)
		if c.Tokens != nil {
			fmt.Fprintf(w, ", quota %g/s, burst %g, tokens held %d, home replied %s", c.RequestsPerSecond, c.Burst, *c.Tokens, describeAge(*c.HomeReplyAgeMillis))
		}
		fmt.Fprintln(w)
	}
	if x.DeadlineMillis != 0 {
		fmt.Fprintf(w, "deadline in %d ms\n", x.DeadlineMillis)
	}
	if s := x.Scheduling; s != nil {
		fmt.Fprintf(w, "shared scheduling: callers return %t, expected work %d ms, requests held %d\n", s.CallersRetry, s.WorkMillis, s.Held)
	}
	writeRefusal(w, x.Refusal)
	for _, s := range x.Services {
		writeService(w, s)
	}
	for _, note := range x.Notes {
		fmt.Fprintln(w, "note:", note)
	}
}

func writeRefusal(w io.Writer, r *entry.ExplainedRefusal) {
	if r == nil {
		return
	}
	fmt.Fprintf(w, "refused: %d %s (%s)", r.Status, r.Code, r.Detail)
	if r.RetryAfter != "" {
		fmt.Fprintf(w, ", Retry-After %s", r.RetryAfter)
	}
	fmt.Fprintln(w)
}

func writeService(w io.Writer, s entry.ExplainedService) {
	fmt.Fprintf(w, "service %s: %.1f%% of the requests\n", s.Service, 100*s.Share)
	writeRefusal(w, s.Refusal)
	for _, p := range s.Passes {
		if p.Gate == "" {
			fmt.Fprintf(w, "  pass %d: no gate\n", p.Pass)
			continue
		}
		fmt.Fprintf(w, "  pass %d: %s (%.0f%% of the choices), queue up to %d ms\n", p.Pass, p.Gate, 100*p.Share, p.QueueMillis)
	}
	if s.IfNotGranted != "" {
		fmt.Fprintf(w, "  without a grant: %s\n", s.IfNotGranted)
	}
	for _, g := range s.Candidates {
		fmt.Fprintf(w, "  gate %s: %s, reported %s, outstanding %d, slots %d, sent %d%s, passes %v%s\n",
			g.Gate, g.Tier, describeAge(g.StateAgeMillis), g.Outstanding, g.Slots, g.Sent, describeHealth(g), g.Passes, describeCost(g))
	}
}

func describeAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", ms)
}

func describeHealth(g entry.ExplainedCandidate) string {
	text := ""
	for _, h := range []struct {
		is   bool
		name string
	}{{g.Suspected, "suspected"}, {g.NotAccepting, "not accepting"}, {g.Unreachable, "unreachable"}} {
		if h.is {
			text += ", " + h.name
		}
	}
	return text
}

func describeCost(g entry.ExplainedCandidate) string {
	switch {
	case g.CostMillis != nil:
		c := g.CostMillis
		return fmt.Sprintf(", cost %.3f ms (travel %.3f, load %.3f, pace %.3f, risk %.3f)", c.Total, c.Travel, c.Load, c.Pace, c.Risk)
	case g.Cost != nil:
		return fmt.Sprintf(", cost %.3f", *g.Cost)
	}
	return ""
}
