package main

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/foxtailhook/foxtailhook/internal/load/chain"
)

// column is a column of the table: the measure that it shows, whether a lower value is worse, and how a value is formatted.
type column struct {
	name         string
	value        func(r chain.Result) float64
	lowerIsWorse bool
	format       func(v float64) string
}

func columns() []column {
	return []column{
		{"goodput", func(r chain.Result) float64 { return r.Goodput }, true, percent(0)},
		{"recovery s", recovery, false, seconds},
		{"worst organisation", func(r chain.Result) float64 { return r.WorstOrganisation }, true, percent(0)},
		{"wrongful", func(r chain.Result) float64 { return r.Wrongful }, false, percent(1)},
		{"interactive", func(r chain.Result) float64 { return r.Interactive }, true, percent(0)},
		{"worst interactive", func(r chain.Result) float64 { return r.WorstInteractive }, true, percent(0)},
		{"p99 s", func(r chain.Result) float64 { return r.SlowestSeconds }, false, seconds},
		{"runs per whole", func(r chain.Result) float64 { return r.RunsPerWhole }, false, number(1)},
		{"most runs", func(r chain.Result) float64 { return float64(r.MostRuns) }, false, number(0)},
	}
}

// recovery returns the seconds until goodput had recovered, infinite if it never did.
func recovery(r chain.Result) float64 {
	if r.RecoverySeconds < 0 {
		return math.Inf(1)
	}
	return r.RecoverySeconds
}

func percent(digits int) func(float64) string {
	return func(v float64) string { return fmt.Sprintf("%.*f%%", digits, 100*v) }
}

func number(digits int) func(float64) string {
	return func(v float64) string { return fmt.Sprintf("%.*f", digits, v) }
}

func seconds(v float64) string {
	if math.IsInf(v, 1) {
		return "never"
	}
	return fmt.Sprintf("%.2f", v)
}

// cell formats one measure over all seeds: the median, and after a slash the worst value.
func (c column) cell(results []chain.Result) string {
	values := make([]float64, len(results))
	for i, r := range results {
		values[i] = c.value(r)
	}
	slices.SortFunc(values, func(a, b float64) int {
		if c.lowerIsWorse {
			a, b = b, a
		}
		return cmp.Compare(a, b)
	})
	median, worst := c.format(values[(len(values)-1)/2]), c.format(values[len(values)-1])
	if len(values) == 1 {
		return median
	}
	return median + " / " + worst
}

// table prints a row for each group of results that differ only in their seed.
func table(out io.Writer, results []chain.Result, seeds int) error {
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight|tabwriter.Debug)
	fmt.Fprint(w, "deployment\tcause\ttimes\tchoice\t")
	for _, c := range columns() {
		fmt.Fprintf(w, "%s\t", c.name)
	}
	fmt.Fprintln(w)
	for group := range slices.Chunk(results, seeds) {
		r := group[0]
		fmt.Fprintf(w, "%s\t%s\t%g\t%s\t", r.Deployment, r.Cause, r.Times, r.Policy)
		for _, c := range columns() {
			fmt.Fprintf(w, "%s\t", c.cell(group))
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
