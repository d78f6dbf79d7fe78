package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/foxtailhook/foxtailhook/internal/load/changes"
)

func changesCommand() *ffcli.Command {
	fs := flag.NewFlagSet("foxtailload changes", flag.ExitOnError)
	var fleet fleetFlags
	fleet.bind(fs)
	var p changes.Plan
	fs.IntVar(&p.Listed, "listed", 0, "hosts on the published list; those beyond the daemons are listed as leaving")
	fs.IntVar(&p.Organisations, "organisations", 8, "organisations, each with a plan and a key")
	fs.IntVar(&p.Changes, "changes", 10, "changes of the keys")
	fs.DurationVar(&p.Idle, "idle", 10*time.Second, "length of the measurement without changes")
	fs.DurationVar(&p.Every, "every", 3*time.Second, "time between two changes")
	return &ffcli.Command{
		Name: "changes", ShortUsage: "foxtailload changes -fleet FILE", FlagSet: fs,
		ShortHelp: "Measures how long changes take to be in force on all hosts and what control traffic costs; one JSON line on standard output.",
		Exec: func(ctx context.Context, _ []string) error {
			return fleet.measure(ctx, &p, func(ctx context.Context) (any, error) {
				p.Listed = max(p.Listed, len(p.Daemons))
				return changes.Run(ctx, p, os.Stderr)
			})
		},
	}
}
