package main

import (
	"io"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

// envPrefix begins the names of all environment variables.
const envPrefix = "CUMINWHEEL_"

// env names the environment variable of a flag.
func env(flag string) cli.ValueSourceChain {
	return cli.EnvVars(envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

func textFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func logFlags() []cli.Flag {
	return []cli.Flag{
		textFlag("log-level", "info", "least level to log: debug, info, warn or error"),
		&cli.BoolFlag{Name: "log-json", Usage: "log in JSON", Sources: env("log-json")},
	}
}

func newLogger(c *cli.Command, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "cuminwheel",
		Output:     w,
		Level:      hclog.LevelFromString(c.String("log-level")),
		JSONFormat: c.Bool("log-json"),
	})
}
