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
		Usage:     "measure policies against targets with gray failures in virtual time",
		ArgsUsage: "[SCENARIO FILE ...] (default: the built-in scenarios)",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 20, Usage: "number of runs of each policy in each scenario"},
			&cli.IntFlag{Name: "workers", Value: max(1, runtime.NumCPU()/2), Usage: "maximum number of concurrent runs"},
			stringFlag("only", "", "run only scenarios whose names contain this text"),
			stringFlag("policies", "", "policies to run, separated by commas; empty means all"),
			stringFlag("output", "table", "output format: table or json"),
			stringFlag("plot", "", "write a plot of the requests started at faulty targets over time to this file (.png or .svg)"),
		},
		Action: runExperiment,
	}
}

func runExperiment(_ context.Context, c *cli.Command) error {
	scenarios, err := selectScenarios(c)
	if err != nil {
		return usageError(err)
	}
	policies, err := selectPolicies(c.String("policies"))
	if err != nil {
		return usageError(err)
	}
	var rows []experiment.Summary
	for _, s := range scenarios {
		rows = append(rows, experiment.Measure(s, policies, c.Int("seeds"), c.Int("workers"))...)
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

// selectScenarios returns the scenarios of the files that the arguments name, or
// the built-in ones, filtered by --only.
func selectScenarios(c *cli.Command) ([]experiment.Scenario, error) {
	scenarios, err := experiment.BuiltInScenarios()
	if c.Args().Present() {
		scenarios, err = readScenarios(c.Args().Slice())
	}
	if err != nil {
		return nil, err
	}
	var selected []experiment.Scenario
	for _, s := range scenarios {
		if strings.Contains(s.Name, c.String("only")) {
			selected = append(selected, s)
		}
	}
	if len(selected) == 0 {
		return nil, errors.Errorf("--only: no scenario name contains %q", c.String("only"))
	}
	return selected, nil
}

func readScenarios(names []string) ([]experiment.Scenario, error) {
	var scenarios []experiment.Scenario
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
		scenarios = append(scenarios, s)
	}
	return scenarios, nil
}

// selectPolicies returns the policies that --policies names, in its order.
func selectPolicies(names string) ([]experiment.PolicyFactory, error) {
	all := experiment.PolicyFactories()
	if names == "" {
		return all, nil
	}
	var selected []experiment.PolicyFactory
	for _, name := range strings.Split(names, ",") {
		known := false
		for _, f := range all {
			if f.Name == name {
				selected = append(selected, f)
				known = true
			}
		}
		if !known {
			return nil, errors.Errorf("--policies: unknown policy %q", name)
		}
	}
	return selected, nil
}
