package main

import (
	"io"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

// envPrefix is the prefix of all environment variables that set flags.
const envPrefix = "CUMINWHEEL_"

// envVar returns the environment variable that sets a flag if it is not on the
// command line, such as CUMINWHEEL_LOG_LEVEL for --log-level.
func envVar(flag string) cli.ValueSourceChain {
	return cli.EnvVars(envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

// stringFlag returns a flag that can also be set by its environment variable.
func stringFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: envVar(name)}
}

func logFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("log-level", "info", "minimum level to log: debug, info, warn or error"),
		&cli.BoolFlag{Name: "log-json", Usage: "log in JSON", Sources: envVar("log-json")},
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
