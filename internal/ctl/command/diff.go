package command

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/foxtailhook/foxtailhook/internal/ctl/check"
	"github.com/foxtailhook/foxtailhook/internal/ctl/diff"
	"github.com/foxtailhook/foxtailhook/internal/ctl/draft"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// fetchTimeout limits the time to read the lists in force.
const fetchTimeout = 10 * time.Second

func (a *app) diffCommand() *ffcli.Command {
	fs := a.flags("foxctl diff")
	var to listFlags
	to.bind(fs)
	from := fs.String("from", "", "folder with the lists that are in force")
	platform := fs.String("platform", "", "IP:port of the configuration service to read the lists in force from")
	asJSON := fs.Bool("json", false, "print a JSON array of changes")
	return &ffcli.Command{
		Name: "diff", FlagSet: fs,
		ShortUsage: "foxctl diff -from DIR | -platform IP:PORT [-lists DIR] [flags]",
		ShortHelp:  "Tells what a change of the lists would do to each organisation.",
		LongHelp: "Compares lists that are to be published with those in force and prints, for each organisation, what changes:\n" +
			"rate, burst and weight, plan, operations gained or lost, keys given or withdrawn, and how its operations are treated.\n" +
			"A list that is not named stays as it is. Nothing is published.\n\n" + exitCodes +
			"\nChanges alone are no finding: 3 means that a list has faults, which are printed instead.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("unexpected argument %q", args[0])
			}
			files, err := to.readFiles()
			if err != nil {
				return err
			}
			if countFiles(files) == 0 {
				return usagef("nothing to compare: name -lists or a list")
			}
			inForce, err := readInForce(ctx, *from, *platform)
			if err != nil {
				return err
			}
			return a.printChanges(draft.Parse(inForce), draft.Parse(draft.Overlay(inForce, files)), *asJSON)
		},
	}
}

func readInForce(ctx context.Context, dir, platform string) ([lists.Kinds]draft.File, error) {
	if (dir == "") == (platform == "") {
		return [lists.Kinds]draft.File{}, usagef("name the lists in force by either -from or -platform")
	}
	if dir != "" {
		return draft.Read(draft.Paths{}.FillFrom(dir))
	}
	address, err := netip.ParseAddrPort(platform)
	if err != nil {
		return [lists.Kinds]draft.File{}, usagef("-platform: %q is not an IP number with a port", platform)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return draft.Fetch(ctx, address)
}

func (a *app) printChanges(before, after *draft.Draft, asJSON bool) error {
	if !before.Valid() || !after.Valid() {
		for _, d := range []*draft.Draft{before, after} {
			for _, f := range check.Lists(d) {
				if f.Severity == check.Fault {
					fmt.Fprintln(a.Err, f)
				}
			}
		}
		return errFound
	}
	all := diff.Compare(before, after)
	if asJSON {
		if all == nil {
			all = []diff.Change{}
		}
		return a.printJSON(all)
	}
	last := ""
	for _, c := range all {
		if c.Organisation != last {
			fmt.Fprintln(a.Out, c.Organisation)
			last = c.Organisation
		}
		fmt.Fprintln(a.Out, "  "+c.String())
	}
	if len(all) == 0 {
		fmt.Fprintln(a.Out, "no organisation is affected")
	}
	return nil
}
