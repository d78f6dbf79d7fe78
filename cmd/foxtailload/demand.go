package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/foxtailhook/foxtailhook/internal/load/changes"
)

func demandCommand() *ffcli.Command {
	fs := flag.NewFlagSet("foxtailload demand", flag.ExitOnError)
	platform := fs.String("platform", "127.0.0.1:9000", "IP:port of the stand-in platform")
	fleet := fs.String("fleet", "", "JSON array of the daemons with host, zone, peer, callers, operators, pid and log")
	arrival := fs.String("arrival", "uniform", "where callers come in: uniform or skewed")
	var p changes.Demand
	fs.Float64Var(&p.Share, "share", 0.8, "offered load as a share of each rate")
	fs.DurationVar(&p.Warm, "warm", 10*time.Second, "time before anything is counted")
	fs.DurationVar(&p.Length, "length", time.Minute, "time that is counted")
	wait := fs.Duration("wait", 5*time.Minute, "longest time for all of it")
	return &ffcli.Command{
		Name: "demand", ShortUsage: "foxtailload demand -fleet FILE", FlagSet: fs,
		ShortHelp: "Sends eight organisations' traffic at a fleet and counts wrongful refusals and what leases cost; one JSON line on standard output.",
		Exec: func(ctx context.Context, _ []string) error {
			address, err := netip.ParseAddrPort(*platform)
			if err != nil {
				return err
			}
			p.Platform = address
			p.Skewed = *arrival == "skewed"
			if p.Daemons, err = changes.ReadFleet(*fleet); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, *wait)
			defer cancel()
			result, err := changes.RunDemand(ctx, p, os.Stderr)
			if err != nil {
				return err
			}
			return json.NewEncoder(os.Stdout).Encode(result)
		},
	}
}
