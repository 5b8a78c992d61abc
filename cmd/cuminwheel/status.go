package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cuminwheel/cuminwheel/process/node"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show services, targets, claim seats and the version in force at each node",
		Flags: []cli.Flag{
			textFlag("node", "127.0.0.1:7002", "control address of any node"),
			textFlag("output", "table", "table or json"),
		},
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, c *cli.Command) error {
	format := c.String("output")
	if format != "table" && format != "json" {
		return usageError(errors.Errorf("--output: %q is not known; use table or json", format))
	}
	f, closeFleet := newFleet()
	defer closeFleet()
	s, err := f.status(ctx, c.String("node"))
	if err != nil {
		return err
	}
	if format == "json" {
		e := json.NewEncoder(c.Root().Writer)
		e.SetIndent("", "  ")
		return e.Encode(s)
	}
	versions := map[string]string{}
	for _, address := range living(s) {
		versions[address] = "no answer"
		if v, err := f.version(ctx, address); err == nil {
			versions[address] = fmt.Sprint(v.Version)
		}
	}
	return printStatus(c.Root().Writer, s, versions)
}

func printStatus(w io.Writer, s node.Status, versions map[string]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "configuration version %d, log offset %d\n\n", s.Version, s.Next)
	fmt.Fprintln(t, "SERVICE\tDETECTION\tFLOOR SLOTS\tSERVING\tDRAINING\tEJECTED")
	for _, v := range s.Services {
		slots := slotsByState(s.Nodes, v.Name)
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\n", v.Name, v.Detection, v.FloorSlots,
			slots[roster.TargetServing], slots[roster.TargetDraining], slots[roster.TargetEjected])
	}
	fmt.Fprintln(t, "\nNODE\tREGION\tDATA CENTRE\tSTATUS\tVERSION\tTARGETS")
	for _, n := range s.Nodes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\n", n.ID, n.Region, n.DataCentre, n.Status, versions[n.ID], len(n.Targets))
	}
	fmt.Fprintln(t, "\nTARGET\tSERVICE\tNODE\tSLOTS\tSTATE")
	for _, n := range s.Nodes {
		for _, g := range n.Targets {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", g.Address, g.Service, n.ID, g.Slots, g.State)
		}
	}
	fmt.Fprintln(t, "\nCLAIM SEAT\tEPOCH\tMEMBERS")
	for _, seat := range s.Seats {
		fmt.Fprintf(t, "%s\t%d\t%s\n", seat.Key(), seat.Epoch, strings.Join(seat.Members, " "))
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "print status")
	}
	return nil
}

// slotsByState adds up a service's slots over all living nodes.
func slotsByState(nodes []roster.Node, service string) map[roster.TargetState]int {
	slots := map[roster.TargetState]int{}
	for _, n := range nodes {
		for _, g := range n.Targets {
			if g.Service == service {
				slots[g.State] += g.Slots
			}
		}
	}
	return slots
}
