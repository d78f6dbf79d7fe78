package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/load/changes"
)

// How callers are distributed over the hosts.
const (
	uniform = "uniform"
	skewed  = "skewed"
)

func demandCommand() *ffcli.Command {
	fs := flag.NewFlagSet("foxtailload demand", flag.ExitOnError)
	arrival := fs.String("arrival", uniform, "distribution of callers over the hosts: uniform or skewed")
	var fleet fleetFlags
	fleet.bind(fs)
	var p changes.Demand
	fs.Float64Var(&p.Share, "share", 0.8, "offered load as a fraction of each organisation's rate")
	fs.DurationVar(&p.Warm, "warm", 10*time.Second, "time before anything is counted")
	fs.DurationVar(&p.Length, "length", time.Minute, "time that is counted")
	return &ffcli.Command{
		Name: "demand", ShortUsage: "foxtailload demand -fleet FILE", FlagSet: fs,
		ShortHelp: "Sends eight organisations' traffic to a fleet and counts wrongful refusals and what leases cost; one JSON line on standard output.",
		Exec: func(ctx context.Context, _ []string) error {
			if *arrival != uniform && *arrival != skewed {
				return errors.Errorf("-arrival: %q is not %s or %s", *arrival, uniform, skewed)
			}
			p.Skewed = *arrival == skewed
			return fleet.measure(ctx, &p.Plan, func(ctx context.Context) (any, error) {
				return changes.RunDemand(ctx, p, os.Stderr)
			})
		},
	}
}
