package command

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/foxtailhook/foxtailhook/internal/ctl/status"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

const defaultStatusTimeout = 2 * time.Second

func (a *app) statusCommand() *ffcli.Command {
	fs := a.flags("foxctl status")
	timeout := fs.Duration("timeout", defaultStatusTimeout, "longest wait for one daemon")
	asJSON := fs.Bool("json", false, "print one JSON object with hosts and concerns")
	return &ffcli.Command{
		Name: "status", FlagSet: fs,
		ShortUsage: "foxctl status [flags] IP:PORT...|-",
		ShortHelp:  "Shows lists in force, requests in flight and differences over hosts.",
		LongHelp: "Asks the operators' address of each daemon, all at once, and prints a line for each host, then what needs a look:\n" +
			"daemons that don't answer, aren't ready or are isolated, that can't reach others or lend no tokens of the rates, rejected lists,\n" +
			"and versions that differ over hosts. A - in place of addresses reads them from standard input, separated by blanks.\n\n" + exitCodes,
		Exec: func(ctx context.Context, args []string) error {
			args, err := a.addressArgs(args)
			if err != nil {
				return err
			}
			operators, err := parseAddresses(args)
			if err != nil {
				return err
			}
			fleet := status.New(status.Fetch(ctx, operators, *timeout))
			if *asJSON {
				if err := a.printJSON(fleet); err != nil {
					return err
				}
			} else {
				a.printFleet(fleet)
			}
			return foundError(len(fleet.Concerns) > 0)
		},
	}
}

// maxStdinBytes limits what is read of standard input; it is enough for thousands of addresses.
const maxStdinBytes = 1 << 20

// addressArgs returns the arguments, or the blank-separated fields of standard input if the only argument is -.
func (a *app) addressArgs(args []string) ([]string, error) {
	if len(args) != 1 || args[0] != "-" {
		return args, nil
	}
	raw, err := io.ReadAll(io.LimitReader(a.In, maxStdinBytes))
	return strings.Fields(string(raw)), err
}

func parseAddresses(args []string) ([]netip.AddrPort, error) {
	if len(args) == 0 {
		return nil, usagef("name the operators' address of at least one daemon, IP:port")
	}
	all := make([]netip.AddrPort, len(args))
	for i, raw := range args {
		parsed, err := netip.ParseAddrPort(raw)
		if err != nil {
			return nil, usagef("%q is not an IP number with a port", raw)
		}
		all[i] = parsed
	}
	return all, nil
}

func (a *app) printFleet(f status.Fleet) {
	table := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "HOST\tSERVICE\tZONE\tSTATE\tREADER\tIN FLIGHT\tSHARDS")
	for k := range lists.Kinds {
		fmt.Fprintf(table, "\t%s", lists.Kind(k))
	}
	fmt.Fprintln(table)
	for _, h := range f.Hosts {
		if h.Status == nil {
			fmt.Fprintf(table, "%s\t\t\tno answer\n", h.Operators)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d", h.Status.Host, h.Status.Service, h.Status.Zone, state(h), reader(h),
			h.Status.InFlight, h.Status.Rates.Shards)
		for k := range lists.Kinds {
			fmt.Fprintf(table, "\t%d", h.Status.Lists[lists.Kind(k).String()].Version)
		}
		fmt.Fprintln(table)
	}
	_ = table.Flush()
	for _, c := range f.Concerns {
		fmt.Fprintln(a.Out, "look at:", c)
	}
}

func reader(h status.Host) string {
	if h.Status.Reader {
		return "yes"
	}
	return "no"
}

func state(h status.Host) string {
	switch {
	case h.Status.Leaving:
		return "leaving"
	case !h.Status.Ready:
		return "not ready: " + h.Status.Standing
	default:
		return "ready"
	}
}
