// Command foxtailbench compares admission, queueing, load balancing and retry policies under overload, in simulated time.
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

// options are the values of the flags.
type options struct {
	compare, limit, queue, placing    string
	loads, causes, deployments        string
	seed                              uint64
	budget, seeds                     int
	ceiling, rateFactor               float64
	throttles, honourRetryAfter, json bool
	wait                              time.Duration
}

func run(args []string) error {
	var o options
	fs := flag.NewFlagSet("foxtailbench", flag.ContinueOnError)
	fs.StringVar(&o.compare, "compare", "naive", "what to compare: naive (with the daemon's policy, called ours), ours (alone), limit, queue, placing, budget, doors, rates, wait, ceiling, or mechanisms (each disabled in turn, in a model of the fleet on the platform)")
	fs.StringVar(&o.limit, "limit", limit.Gradient.String(), "limit of ours: gradient, aimd or fixed")
	fs.StringVar(&o.queue, "queue", queue.Fair.String(), "queue of ours: fair, fifo or lifo")
	fs.StringVar(&o.placing, "placing", placing.TwoChoices.String(), "placing of ours: twoChoices, roundRobin or leastLatency")
	fs.StringVar(&o.loads, "loads", "1,2,5,10", "multiples of the deployment's normal load, or factors of the slow instances' work times or of the loss, by cause")
	fs.StringVar(&o.causes, "causes", "surge,skew,slow,oneSlow,lossy", "causes of overload or failure to simulate")
	fs.StringVar(&o.deployments, "deployments", "rejestr,desarrollos", "deployments to simulate: rejestr, desarrollos, deep8, deep8fan4 or deep16")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the random numbers")
	fs.IntVar(&o.seeds, "seeds", 1, "runs of each row, with consecutive seeds; for several runs the table shows the median and the worst")
	fs.IntVar(&o.budget, "budget", chain.Ours().Budget, "upstream runs that one request may cause; 0 for three attempts at each hop")
	fs.Float64Var(&o.ceiling, "ceiling", chain.Ours().Ceiling, "highest concurrency limit, as a multiple of an instance's slots")
	fs.DurationVar(&o.wait, "wait", chain.Ours().Wait, "longest wait for a slot")
	fs.Float64Var(&o.rateFactor, "rates", 0, "rate limit of each organisation relative to what it sends at normal load; 0 for none")
	fs.BoolVar(&o.throttles, "doors", true, "reject at the ingress what would fail deeper in the call chain")
	fs.BoolVar(&o.honourRetryAfter, "polite", false, "callers retry only after the Retry-After delay")
	fs.BoolVar(&o.json, "json", false, "print JSON instead of a table")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("FOXTAILBENCH")); err != nil {
		return err
	}
	if o.seeds < 1 {
		return errors.Errorf("-seeds: %d is not at least 1", o.seeds)
	}
	if o.compare == "mechanisms" {
		return writeAblation(os.Stdout, ablate(o.seed, o.seeds))
	}
	policies, err := o.policies()
	if err != nil {
		return err
	}
	loads, err := o.parseLoads()
	if err != nil {
		return err
	}
	experiments := o.experiments(policies, loads)
	if len(experiments) == 0 {
		return errors.New("nothing to run: -deployments, -causes and -loads match no experiment")
	}
	return o.print(runAll(experiments))
}

// basePolicy returns the daemon's policy with the flags applied.
func (o *options) basePolicy() (chain.Policy, error) {
	p := chain.Ours()
	p.Wait = o.wait
	p.Throttles, p.Budget, p.Ceiling, p.RateFactor = o.throttles, o.budget, o.ceiling, o.rateFactor
	var ok bool
	if p.Limit, ok = limit.ParseKind(o.limit); !ok {
		return p, errors.Errorf("-limit: no limit is called %q", o.limit)
	}
	if p.Queue, ok = queue.ParseKind(o.queue); !ok {
		return p, errors.Errorf("-queue: no queue is called %q", o.queue)
	}
	if p.Placing, ok = placing.ParseKind(o.placing); !ok {
		return p, errors.Errorf("-placing: no placing is called %q", o.placing)
	}
	return p, nil
}

// policies returns the policies to compare.
func (o *options) policies() ([]chain.Policy, error) {
	base, err := o.basePolicy()
	if err != nil {
		return nil, err
	}
	variant := func(name string, change func(p *chain.Policy)) chain.Policy {
		p := base
		p.Name = name
		change(&p)
		return p
	}
	var all []chain.Policy
	switch o.compare {
	case "naive":
		return []chain.Policy{chain.Naive(), base}, nil
	case "ours":
		all = append(all, base)
	case "limit":
		for k := limit.Gradient; k <= limit.Fixed; k++ {
			all = append(all, variant(k.String(), func(p *chain.Policy) { p.Limit = k }))
		}
	case "queue":
		for k := queue.Fair; k <= queue.LIFO; k++ {
			all = append(all, variant(k.String(), func(p *chain.Policy) { p.Queue = k }))
		}
	case "placing":
		for k := placing.TwoChoices; k <= placing.LeastLatency; k++ {
			all = append(all, variant(k.String(), func(p *chain.Policy) { p.Placing = k }))
		}
	case "budget":
		for _, n := range []int{0, 64, 32, 16, 8, 4} {
			all = append(all, variant("runs="+strconv.Itoa(n), func(p *chain.Policy) { p.Budget = n }))
		}
	case "rates":
		for _, lend := range []bool{false, true} {
			name := map[bool]string{false: "exact", true: "lent"}[lend]
			all = append(all, variant(name, func(p *chain.Policy) { p.LendRates = lend }))
		}
	case "wait":
		for _, d := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second} {
			all = append(all, variant(d.String(), func(p *chain.Policy) { p.Wait = d }))
		}
	case "ceiling":
		for _, n := range []float64{1, 2, 6} {
			for k := limit.Gradient; k <= limit.Fixed; k++ {
				all = append(all, variant(fmt.Sprintf("%s %gx", k, n), func(p *chain.Policy) { p.Limit, p.Ceiling = k, n }))
			}
		}
	case "doors":
		all = append(all, variant("doors", func(p *chain.Policy) { p.Throttles = true }), variant("noDoors", func(p *chain.Policy) { p.Throttles = false }))
	default:
		return nil, errors.Errorf("-compare: %q is not a comparison; -h lists them", o.compare)
	}
	return all, nil
}

func (o *options) parseLoads() ([]float64, error) {
	var all []float64
	for _, raw := range strings.Split(o.loads, ",") {
		n, err := strconv.ParseFloat(raw, 64)
		if err != nil || n < 1 {
			return nil, errors.Errorf("-loads: %q is not a number of at least 1", raw)
		}
		all = append(all, n)
	}
	return all, nil
}

func (o *options) experiments(policies []chain.Policy, loads []float64) []chain.Experiment {
	var all []chain.Experiment
	for _, d := range chain.Deployments() {
		if !inList(o.deployments, d.Name) {
			continue
		}
		for cause := range chain.Causes {
			for _, load := range loads {
				if load == 1 && chain.Cause(cause) != chain.Surge || !inList(o.causes, chain.Cause(cause).String()) {
					continue
				}
				for _, p := range policies {
					for i := range o.seeds {
						all = append(all, chain.Experiment{
							Deployment: d, Policy: p, Cause: chain.Cause(cause), Times: load, Seed: o.seed + uint64(i), HonourRetryAfter: o.honourRetryAfter,
						})
					}
				}
			}
		}
	}
	return all
}

// inList reports whether a comma-separated list contains the name.
func inList(list, name string) bool { return slices.Contains(strings.Split(list, ","), name) }

// maxParallelRuns bounds the simulations that run at the same time.
const maxParallelRuns = 4

func runAll(experiments []chain.Experiment) []chain.Result {
	results := make([]chain.Result, len(experiments))
	slots := make(chan struct{}, maxParallelRuns)
	var running sync.WaitGroup
	for i, e := range experiments {
		slots <- struct{}{}
		running.Go(func() {
			results[i] = e.Run()
			<-slots
		})
	}
	running.Wait()
	return results
}

func (o *options) print(results []chain.Result) error {
	if o.json {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(results)
	}
	return table(os.Stdout, results, o.seeds)
}
