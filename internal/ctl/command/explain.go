package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/ctl/explain"
)

func (a *app) explainCommand() *ffcli.Command {
	fs := a.flags("foxctl explain")
	var filter explain.Filter
	fs.StringVar(&filter.RequestID, "request", "", "only the request with this id")
	fs.StringVar(&filter.Organisation, "organisation", "", "only requests of this organisation")
	fs.BoolVar(&filter.Refused, "refused", false, "only decisions that did not end whole")
	since := fs.String("since", "", "only from this time on, such as 2026-12-02T10:00:00Z")
	until := fs.String("until", "", "only up to this time")
	asJSON := fs.Bool("json", false, "print one JSON object with the decisions")
	return &ffcli.Command{
		Name: "explain", FlagSet: fs,
		ShortUsage: "foxctl explain [flags] [FILE...]",
		ShortHelp:  "Says why a request was refused or placed, from the daemons' logs.",
		LongHelp: "Reads JSON logs of one or many daemons, or standard input, and prints their decisions in order of time, each as a sentence.\n" +
			"Lines that are no JSON are passed over and counted.\n\n" + exitCodes,
		Exec: func(_ context.Context, args []string) error {
			var err error
			if filter.Since, err = parseTime("-since", *since); err != nil {
				return err
			}
			if filter.Until, err = parseTime("-until", *until); err != nil {
				return err
			}
			found, err := a.readLogs(args, filter)
			if err != nil {
				return err
			}
			return a.printDecisions(found, *asJSON)
		},
	}
}

func parseTime(name, raw string) (time.Time, error) {
	if raw == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, raw)
	if err != nil {
		return t, usagef("%s: %q is not a time such as 2026-12-02T10:00:00Z", name, raw)
	}
	return t, nil
}

func (a *app) readLogs(files []string, filter explain.Filter) (*explain.Found, error) {
	found := &explain.Found{Entries: []explain.Entry{}}
	if len(files) == 0 {
		return found, found.Add(a.In, filter)
	}
	for _, name := range files {
		if err := addFile(found, name, filter); err != nil {
			return nil, err
		}
	}
	return found, nil
}

func addFile(found *explain.Found, name string, filter explain.Filter) error {
	log, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "read log")
	}
	defer func() { _ = log.Close() }()
	return errors.Wrap(found.Add(log, filter), name)
}

func (a *app) printDecisions(found *explain.Found, asJSON bool) error {
	if asJSON {
		if err := a.printJSON(found); err != nil {
			return err
		}
		return foundError(len(found.Entries) == 0)
	}
	for _, e := range found.Entries {
		fmt.Fprintf(a.Out, "%s  %s  %s\n", e.Time.Format(time.RFC3339Nano), e.RequestID, e.Sentence())
	}
	if found.Skipped > 0 {
		fmt.Fprintf(a.Err, "foxctl: %d lines are no JSON and were passed over\n", found.Skipped)
	}
	if len(found.Entries) == 0 {
		fmt.Fprintln(a.Err, "foxctl: no decision matches")
	}
	return foundError(len(found.Entries) == 0)
}
