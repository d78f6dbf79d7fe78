package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/ctl/capacity"
)

func (a *app) capacityCommand() *ffcli.Command {
	fs := a.flags("foxctl capacity")
	asJSON := fs.Bool("json", false, "print one JSON object")
	return &ffcli.Command{
		Name: "capacity", FlagSet: fs,
		ShortUsage: "foxctl capacity [-json] [FILE...]",
		ShortHelp:  "Summarizes what the daemons of a fleet use, by role, from their logs.",
		LongHelp: "Reads JSON logs of many daemons, a file each, or lines that begin with the host's name, or standard input. Prints for each role the\n" +
			"middle and the busiest daemon's processor time, memory, messages, bytes and calls to the store since their starts, and how long each version\n" +
			"of the configuration took from the first daemon to the middle and the last one.\n\n" + exitCodes,
		Exec: func(_ context.Context, args []string) error {
			logs := capacity.NewLogs()
			if len(args) == 0 {
				if err := logs.Add(a.In, "-"); err != nil {
					return err
				}
			}
			for _, name := range args {
				if err := addCapacityLog(logs, name); err != nil {
					return err
				}
			}
			return a.printCapacity(logs, *asJSON)
		},
	}
}

func addCapacityLog(logs *capacity.Logs, name string) error {
	log, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "read log")
	}
	defer func() { _ = log.Close() }()
	return errors.Wrap(logs.Add(log, filepath.Base(name)), name)
}

func (a *app) printCapacity(logs *capacity.Logs, asJSON bool) error {
	summary := logs.Summary()
	if asJSON {
		if err := a.printJSON(summary); err != nil {
			return err
		}
	} else if err := summary.Print(a.Out); err != nil {
		return err
	}
	if logs.Skipped > 0 {
		fmt.Fprintf(a.Err, "foxctl: %d lines are no JSON and were passed over\n", logs.Skipped)
	}
	return foundError(len(summary.Roles) == 0)
}
