package main

import (
	"fmt"
	"io"
	"math"
	"sync"
	"text/tabwriter"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/load/mesh"
)

// ablation is one load, simulated with each seed and with at most one mechanism disabled.
type ablation struct {
	without mechanism.Set
	load    mesh.Load
	// served and crossZone have one value for each seed: the fraction of callers' requests that were answered in time, and the
	// fraction of runs in another availability zone.
	served, crossZone []float64
}

// ablate simulates each load with all mechanisms, and then with each one disabled in turn.
func ablate(seed uint64, seeds int) []*ablation {
	sets := []mechanism.Set{{}}
	for _, name := range mechanism.Names() {
		set, _ := mechanism.Parse(name)
		sets = append(sets, set)
	}
	var all []*ablation
	for _, set := range sets {
		for _, load := range mesh.Loads() {
			all = append(all, &ablation{without: set, load: load, served: make([]float64, seeds), crossZone: make([]float64, seeds)})
		}
	}
	var running sync.WaitGroup
	slots := make(chan struct{}, maxParallelRuns)
	for _, a := range all {
		for n := range seeds {
			slots <- struct{}{}
			running.Go(func() {
				a.run(n, seed+uint64(n))
				<-slots
			})
		}
	}
	running.Wait()
	return all
}

func (a *ablation) run(n int, seed uint64) {
	scenario := mesh.FanOut(seed)
	scenario.Faults, scenario.Without = a.load.Faults, a.without
	r := mesh.Simulate(scenario, a.load.To)
	requests, inTime, runs, crossZone := 0, 0, 0, 0
	for route, total := range r.Routes {
		measured := r.Between(route, a.load.From, a.load.To)
		requests, inTime = requests+measured.Requests, inTime+measured.InTime
		runs, crossZone = runs+total.Runs, crossZone+total.CrossZone
	}
	a.served[n] = float64(inTime) / float64(max(requests, 1))
	a.crossZone[n] = float64(crossZone) / float64(max(runs, 1))
}

// writeAblation writes a table with a row for no disabled mechanism and then one for each.
func writeAblation(out io.Writer, all []*ablation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	loads := mesh.Loads()
	_, _ = fmt.Fprint(w, "without")
	for _, l := range loads {
		_, _ = fmt.Fprintf(w, "\t%s\tcrossing", l.Name)
	}
	for n, a := range all {
		if n%len(loads) == 0 {
			name := a.without.String()
			if name == "" {
				name = "nothing"
			}
			_, _ = fmt.Fprintf(w, "\n%s", name)
		}
		served, deviation := meanAndDeviation(a.served)
		crossZone, _ := meanAndDeviation(a.crossZone)
		_, _ = fmt.Fprintf(w, "\t%.3f ± %.3f\t%.2f", served, deviation, crossZone)
	}
	_, _ = fmt.Fprintln(w)
	return w.Flush()
}

// meanAndDeviation returns the mean and the standard deviation.
func meanAndDeviation(values []float64) (mean, deviation float64) {
	for _, x := range values {
		mean += x / float64(len(values))
	}
	for _, x := range values {
		deviation += (x - mean) * (x - mean) / float64(len(values))
	}
	return mean, math.Sqrt(deviation)
}
