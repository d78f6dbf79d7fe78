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

func changesCommand() *ffcli.Command {
	fs := flag.NewFlagSet("foxtailload changes", flag.ExitOnError)
	platform := fs.String("platform", "127.0.0.1:9000", "IP:port of the stand-in platform")
	fleet := fs.String("fleet", "", "JSON array of the daemons with host, zone, peer, operators, pid and log")
	var p changes.Plan
	fs.IntVar(&p.Listed, "listed", 0, "hosts on the published list, leaving ones beyond the daemons")
	fs.IntVar(&p.Organisations, "organisations", 8, "organisations, each with a plan and a key")
	fs.IntVar(&p.Changes, "changes", 10, "changes of the keys")
	fs.DurationVar(&p.Idle, "idle", 10*time.Second, "length of the quiet part")
	fs.DurationVar(&p.Every, "every", 3*time.Second, "time between two changes")
	wait := fs.Duration("wait", 5*time.Minute, "longest time for all of it")
	return &ffcli.Command{
		Name: "changes", ShortUsage: "foxtailload changes -fleet FILE", FlagSet: fs,
		ShortHelp: "Measures how long changes take to be in force everywhere and what control costs; one JSON line on standard output.",
		Exec: func(ctx context.Context, _ []string) error {
			address, err := netip.ParseAddrPort(*platform)
			if err != nil {
				return err
			}
			p.Platform = address
			if p.Daemons, err = changes.ReadFleet(*fleet); err != nil {
				return err
			}
			p.Listed = max(p.Listed, len(p.Daemons))
			ctx, cancel := context.WithTimeout(ctx, *wait)
			defer cancel()
			result, err := changes.Run(ctx, p, os.Stderr)
			if err != nil {
				return err
			}
			return json.NewEncoder(os.Stdout).Encode(result)
		},
	}
}
