// Command foxtailbench compares choices of the decisions under load, in virtual time.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/placing"
	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
	"github.com/foxtailhook/foxtailhook/internal/load/chain"
)

func main() {
	if err := run(os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "foxtailbench:", err)
		os.Exit(1)
	}
}

// choices are the flags.
type choices struct {
	compare, limit, queue, placing string
	loads, causes, deployments     string
	seed                           uint64
	budget, seeds                  int
	ceiling, rates                 float64
	doors, polite, json            bool
	wait                           time.Duration
}

func run(args []string) error {
	var c choices
	fs := flag.NewFlagSet("foxtailbench", flag.ContinueOnError)
	fs.StringVar(&c.compare, "compare", "naive", "what to compare: naive, ours (alone), limit, queue, placing, budget, doors, rates, wait, ceiling, or mechanisms (each switched off, in a model of the fleet on the platform)")
	fs.StringVar(&c.limit, "limit", limit.Gradient.String(), "limit of ours: gradient, aimd or fixed")
	fs.StringVar(&c.queue, "queue", queue.Fair.String(), "queue of ours: fair, fifo or lifo")
	fs.StringVar(&c.placing, "placing", placing.TwoChoices.String(), "placing of ours: twoChoices, roundRobin or leastLatency")
	fs.StringVar(&c.loads, "loads", "1,2,5,10", "multiples of load 1, or of the deepest service's time")
	fs.StringVar(&c.causes, "causes", "surge,skew,slow,oneSlow,lossy", "causes of trouble to bring about")
	fs.StringVar(&c.deployments, "deployments", "rejestr,desarrollos", "where to run: rejestr, desarrollos, deep8, deep8fan4 or deep16")
	fs.Uint64Var(&c.seed, "seed", 1, "seed of all chance")
	fs.IntVar(&c.seeds, "seeds", 1, "runs of each row, with one seed after the other; of several the table has the median and the worst")
	fs.IntVar(&c.budget, "budget", chain.Ours().Budget, "upstream runs of one request; 0 for three tries at each hop")
	fs.Float64Var(&c.ceiling, "ceiling", chain.Ours().Ceiling, "highest limit in slots of an instance")
	fs.DurationVar(&c.wait, "wait", chain.Ours().Wait, "longest wait for a slot")
	fs.Float64Var(&c.rates, "rates", 0, "rate of each organisation relative to what it sends at load 1; 0 for none")
	fs.BoolVar(&c.doors, "doors", true, "refuse at the entry what would fail deeper down")
	fs.BoolVar(&c.polite, "polite", false, "callers come back when they are told to")
	fs.BoolVar(&c.json, "json", false, "print JSON instead of a table")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("FOXTAILBENCH")); err != nil {
		return err
	}
	if c.seeds < 1 {
		return errors.Errorf("-seeds: %d is not a number of at least 1", c.seeds)
	}
	if c.compare == "mechanisms" {
		return writeAblation(os.Stdout, ablate(c.seed, c.seeds))
	}
	policies, err := c.policies()
	if err != nil {
		return err
	}
	loads, err := c.multiples()
	if err != nil {
		return err
	}
	all := c.experiments(policies, loads)
	if len(all) == 0 {
		return errors.New("nothing to run: no deployment or cause has such a name")
	}
	return c.print(runAll(all))
}

func (c *choices) ours() (chain.Policy, error) {
	p := chain.Ours()
	p.Wait = c.wait
	p.Throttles, p.Budget, p.Ceiling, p.RateFactor = c.doors, c.budget, c.ceiling, c.rates
	var ok bool
	if p.Limit, ok = limit.ParseKind(c.limit); !ok {
		return p, errors.Errorf("-limit: no limit is called %q", c.limit)
	}
	if p.Queue, ok = queue.ParseKind(c.queue); !ok {
		return p, errors.Errorf("-queue: no queue is called %q", c.queue)
	}
	if p.Placing, ok = placing.ParseKind(c.placing); !ok {
		return p, errors.Errorf("-placing: no placing is called %q", c.placing)
	}
	return p, nil
}

func (c *choices) policies() ([]chain.Policy, error) {
	ours, err := c.ours()
	if err != nil {
		return nil, err
	}
	vary := func(name string, change func(p *chain.Policy)) chain.Policy {
		p := ours
		p.Name = name
		change(&p)
		return p
	}
	var all []chain.Policy
	switch c.compare {
	case "naive":
		return []chain.Policy{chain.Naive(), ours}, nil
	case "ours":
		all = append(all, ours)
	case "limit":
		for k := limit.Gradient; k <= limit.Fixed; k++ {
			all = append(all, vary(k.String(), func(p *chain.Policy) { p.Limit = k }))
		}
	case "queue":
		for k := queue.Fair; k <= queue.LIFO; k++ {
			all = append(all, vary(k.String(), func(p *chain.Policy) { p.Queue = k }))
		}
	case "placing":
		for k := placing.TwoChoices; k <= placing.LeastLatency; k++ {
			all = append(all, vary(k.String(), func(p *chain.Policy) { p.Placing = k }))
		}
	case "budget":
		for _, n := range []int{0, 64, 32, 16, 8, 4} {
			all = append(all, vary("runs="+strconv.Itoa(n), func(p *chain.Policy) { p.Budget = n }))
		}
	case "rates":
		for _, lent := range []bool{false, true} {
			name := map[bool]string{false: "exact", true: "lent"}[lent]
			all = append(all, vary(name, func(p *chain.Policy) { p.LendRates = lent }))
		}
	case "wait":
		for _, d := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second} {
			all = append(all, vary(d.String(), func(p *chain.Policy) { p.Wait = d }))
		}
	case "ceiling":
		for _, n := range []float64{1, 2, 6} {
			for k := limit.Gradient; k <= limit.Fixed; k++ {
				all = append(all, vary(fmt.Sprintf("%s %gx", k, n), func(p *chain.Policy) { p.Limit, p.Ceiling = k, n }))
			}
		}
	case "doors":
		all = append(all, vary("doors", func(p *chain.Policy) { p.Throttles = true }), vary("noDoors", func(p *chain.Policy) { p.Throttles = false }))
	default:
		return nil, errors.Errorf("-compare: nothing is called %q", c.compare)
	}
	return all, nil
}

func (c *choices) multiples() ([]float64, error) {
	var all []float64
	for _, raw := range strings.Split(c.loads, ",") {
		n, err := strconv.ParseFloat(raw, 64)
		if err != nil || n < 1 {
			return nil, errors.Errorf("-loads: %q is not a number of at least 1", raw)
		}
		all = append(all, n)
	}
	return all, nil
}

func (c *choices) experiments(policies []chain.Policy, loads []float64) []chain.Experiment {
	var all []chain.Experiment
	for _, d := range chain.Deployments() {
		if !named(c.deployments, d.Name) {
			continue
		}
		for cause := range chain.Causes {
			for _, times := range loads {
				if times == 1 && chain.Cause(cause) != chain.Surge || !named(c.causes, chain.Cause(cause).String()) {
					continue
				}
				for _, p := range policies {
					for i := range c.seeds {
						all = append(all, chain.Experiment{
							Deployment: d, Policy: p, Cause: chain.Cause(cause), Times: times, Seed: c.seed + uint64(i), HonourRetryAfter: c.polite,
						})
					}
				}
			}
		}
	}
	return all
}

func named(list, name string) bool { return slices.Contains(strings.Split(list, ","), name) }

// atOnce bounds the runs side by side.
const atOnce = 4

func runAll(all []chain.Experiment) []chain.Result {
	results := make([]chain.Result, len(all))
	room := make(chan struct{}, atOnce)
	var running sync.WaitGroup
	for i, e := range all {
		room <- struct{}{}
		running.Go(func() {
			results[i] = e.Run()
			<-room
		})
	}
	running.Wait()
	return results
}

func (c *choices) print(results []chain.Result) error {
	if c.json {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(results)
	}
	return table(os.Stdout, results, c.seeds)
}
