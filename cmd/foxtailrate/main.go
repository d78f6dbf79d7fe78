// Command foxtailrate compares variants of dividing an organisation's rate over a fleet, in simulated time.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3"

	"github.com/foxtailhook/foxtailhook/internal/bench/rates"
)

func main() {
	fs := flag.NewFlagSet("foxtailrate", flag.ExitOnError)
	hosts := fs.Int("hosts", 15, "hosts of the fleet, in three availability zones")
	seed := fs.Uint64("seed", 1, "seed of the run")
	caseFilter := fs.String("case", "", "run only cases whose name contains this text")
	variantFilter := fs.String("way", "", "run only variants whose name contains this text")
	perOrganisation := fs.Bool("each", false, "show each organisation, with all its refusals by cause")
	asJSON := fs.Bool("json", false, "print one JSON line for each run instead of a table")
	if err := ff.Parse(fs, os.Args[1:], ff.WithEnvVarPrefix("FOXTAILRATE")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	show := func(r rates.Result) {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.2f\t%.1f\t%.1f\t%.0f\t%.1f\t\n", r.Case, r.Arrival, r.Variant, r.Hosts, r.Percent, r.Asking, r.Messages, r.Bytes, r.Excess)
		if *perOrganisation {
			showOrganisations(table, r)
		}
	}
	if *asJSON {
		out := json.NewEncoder(os.Stdout)
		show = func(r rates.Result) { _ = out.Encode(r) }
	} else {
		fmt.Fprintln(table, "case\tarrival\tway\thosts\twrongful %\tasked %\tmessages/host/s\tlease bytes/host/s\ttokens over\t")
	}
	for _, c := range rates.Cases() {
		for _, a := range []rates.Arrival{rates.Uniform, rates.Skewed} {
			for _, v := range rates.Variants() {
				if strings.Contains(c.Name, *caseFilter) && strings.Contains(v.Name, *variantFilter) {
					show(rates.Run(v, c, a, *hosts, *seed))
				}
			}
		}
	}
	_ = table.Flush()
}

// showOrganisations prints a row for each organisation; the refusals include rightful ones, above its rate.
func showOrganisations(out io.Writer, r rates.Result) {
	for _, counts := range r.Organisations {
		fmt.Fprintf(out, "\t\t%s\t%d in\t%.2f\t%v\t\t\t\t\n", counts.Organisation, counts.Inside, counts.Percent(), counts.Refusals)
	}
}
