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

// ablation is one load played with all seeds and without some mechanism.
type ablation struct {
	without mechanism.Set
	load    mesh.Load
	// served are the parts of all callers' requests that were answered in time, and crossed those sent to another zone, by seed.
	served, crossed []float64
}

// ablate plays all loads with everything, and then without one mechanism after the other.
func ablate(seed uint64, seeds int) []*ablation {
	sets := []mechanism.Set{{}}
	for _, name := range mechanism.Names() {
		set, _ := mechanism.Parse(name)
		sets = append(sets, set)
	}
	var all []*ablation
	for _, set := range sets {
		for _, load := range mesh.Loads() {
			all = append(all, &ablation{without: set, load: load, served: make([]float64, seeds), crossed: make([]float64, seeds)})
		}
	}
	var running sync.WaitGroup
	room := make(chan struct{}, atOnce)
	for _, a := range all {
		for n := range seeds {
			room <- struct{}{}
			running.Go(func() {
				a.play(n, seed+uint64(n))
				<-room
			})
		}
	}
	running.Wait()
	return all
}

func (a *ablation) play(n int, seed uint64) {
	scene := mesh.FanOut(seed)
	scene.Faults, scene.Without = a.load.Faults, a.without
	r := mesh.Simulate(scene, a.load.To)
	asked, inTime, runs, crossed := 0, 0, 0, 0
	for route, whole := range r.Routes {
		t := r.Between(route, a.load.From, a.load.To)
		asked, inTime = asked+t.Requests, inTime+t.InTime
		runs, crossed = runs+whole.Runs, crossed+whole.CrossZone
	}
	a.served[n] = float64(inTime) / float64(max(asked, 1))
	a.crossed[n] = float64(crossed) / float64(max(runs, 1))
}

// writeAblation writes a table with a row for each mechanism.
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
		served, spread := meanOf(a.served)
		crossed, _ := meanOf(a.crossed)
		_, _ = fmt.Fprintf(w, "\t%.3f ± %.3f\t%.2f", served, spread, crossed)
	}
	_, _ = fmt.Fprintln(w)
	return w.Flush()
}

// meanOf returns the mean and the standard deviation.
func meanOf(all []float64) (mean, deviation float64) {
	for _, x := range all {
		mean += x / float64(len(all))
	}
	for _, x := range all {
		deviation += (x - mean) * (x - mean) / float64(len(all))
	}
	return mean, math.Sqrt(deviation)
}
