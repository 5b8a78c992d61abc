package main

import (
	"context"
	"encoding/json"
	"os"
	"runtime"
	"strings"

	"github.com/cuminwheel/cuminwheel/experiment"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "measure policies against gray targets in virtual time",
		ArgsUsage: "[SCENARIO FILE ...] (without files, the scenarios that come with the program)",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 20, Usage: "runs of each policy on each scenario"},
			&cli.IntFlag{Name: "workers", Value: max(1, runtime.NumCPU()/2), Usage: "runs at a time"},
			textFlag("only", "", "run only scenarios whose names contain this"),
			textFlag("policies", "", "policies to run, with commas; empty means all"),
			textFlag("output", "table", "table or json"),
			textFlag("plot", "", "file for a plot (PNG or SVG by its name) of work at sick targets over time"),
		},
		Action: runExperiment,
	}
}

func runExperiment(_ context.Context, c *cli.Command) error {
	scenarios, err := pickScenarios(c)
	if err != nil {
		return usageError(err)
	}
	makers, err := pickMakers(c.String("policies"))
	if err != nil {
		return usageError(err)
	}
	var rows []experiment.Summary
	for _, s := range scenarios {
		rows = append(rows, experiment.Measure(s, makers, c.Int("seeds"), c.Int("workers"))...)
	}
	if name := c.String("plot"); name != "" {
		if err := experiment.Plot(name, rows); err != nil {
			return err
		}
	}
	if c.String("output") == "json" {
		return json.NewEncoder(c.Root().Writer).Encode(rows)
	}
	return experiment.PrintTable(c.Root().Writer, rows)
}

func pickScenarios(c *cli.Command) ([]experiment.Scenario, error) {
	list, err := experiment.BuiltInScenarios()
	if c.Args().Present() {
		list, err = readScenarios(c.Args().Slice())
	}
	if err != nil {
		return nil, err
	}
	var picked []experiment.Scenario
	for _, s := range list {
		if strings.Contains(s.Name, c.String("only")) {
			picked = append(picked, s)
		}
	}
	if len(picked) == 0 {
		return nil, errors.Errorf("--only: no scenario's name contains %q", c.String("only"))
	}
	return picked, nil
}

func readScenarios(names []string) ([]experiment.Scenario, error) {
	var list []experiment.Scenario
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open scenario")
		}
		s, err := experiment.ReadScenario(f)
		f.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		list = append(list, s)
	}
	return list, nil
}

func pickMakers(names string) ([]experiment.PolicyFactory, error) {
	all := experiment.PolicyFactories()
	if names == "" {
		return all, nil
	}
	var picked []experiment.PolicyFactory
	for _, name := range strings.Split(names, ",") {
		found := false
		for _, m := range all {
			if m.Name == name {
				picked = append(picked, m)
				found = true
			}
		}
		if !found {
			return nil, errors.Errorf("--policies: %q is no policy", name)
		}
	}
	return picked, nil
}
