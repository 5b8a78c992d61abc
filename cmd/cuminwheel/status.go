package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the status of a node in JSON",
		Flags: []cli.Flag{stringFlag("metrics", "127.0.0.1:7005", "metrics address of the node, IP:port")},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.String("metrics")+"/status", nil)
			if err != nil {
				return usageError(err)
			}
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				return errors.Wrap(err, "request node status")
			}
			defer res.Body.Close()
			if res.StatusCode != http.StatusOK {
				return errors.Errorf("the node responded with status %03d; check that %s is its metrics address", res.StatusCode, c.String("metrics"))
			}
			_, err = io.Copy(c.Root().Writer, res.Body)
			return err
		},
	}
}

// statusTimeout bounds the request to the node.
const statusTimeout = 5 * time.Second
