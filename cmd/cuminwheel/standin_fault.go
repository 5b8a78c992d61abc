package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

func standinFaultCommand() *cli.Command {
	return &cli.Command{
		Name:      "fault",
		Usage:     "set the faults that a running stand-in injects",
		ArgsUsage: `ADDRESS JSON, as in 127.0.0.1:7200 '{"stall":true}'`,
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return usageError(errors.New("expected the address of the stand-in and its faults in JSON"))
			}
			faults := []byte(c.Args().Get(1))
			if !json.Valid(faults) {
				return usageError(errors.New("the faults are not valid JSON"))
			}
			return putFaults(ctx, c.Args().First(), faults)
		},
	}
}

// putFaults replaces the faults of the stand-in at the address.
func putFaults(ctx context.Context, address string, faults []byte) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/faults", bytes.NewReader(faults))
	if err != nil {
		return usageError(err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "set faults")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		return errors.Errorf("set faults: unexpected status %d", res.StatusCode)
	}
	return nil
}
