package changes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/bench/rates"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/load/traffic"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// Demand is traffic of the bench's organisations at a fleet of real daemons.
type Demand struct {
	Plan
	// Skewed lets each organisation's callers come in at three daemons, others for each; otherwise at all alike.
	Skewed bool
	// Share is what is offered of each rate, as a Poisson process.
	Share float64
	// Warm is left out of the counts, Length is counted.
	Warm   time.Duration
	Length time.Duration
}

// DemandResult is what one run of traffic found.
type DemandResult struct {
	Daemons int    `json:"daemons"`
	Arrival string `json:"arrival"`
	// Percent is the share of the requests inside one global bucket that were refused for the rate.
	Percent       float64       `json:"wrongfulPercent"`
	Organisations []rates.OrganisationCount `json:"organisations"`
	// Other counts answers that were neither whole nor refused for the rate, by their reason.
	Other map[string]int `json:"other"`
	Spent Spent          `json:"spent"`
}

// demand counts the answers to a run's requests.
type demand struct {
	plan   *Demand
	client *http.Client
	mu     sync.Mutex
	inside *rates.Checker
	count  bool
	seen   map[string]*rates.OrganisationCount
	other  map[string]int
}

// spots is the number of daemons at which a skewed organisation's callers come in.
const spots = 3

// RunDemand publishes the lists, waits until the fleet is ready, and sends the traffic.
func RunDemand(ctx context.Context, p Demand, progress io.Writer) (DemandResult, error) {
	r := DemandResult{Daemons: len(p.Daemons), Arrival: rates.Uniform.String()}
	if p.Skewed {
		r.Arrival = rates.Skewed.String()
	}
	if err := p.prepare(ctx); err != nil {
		return r, err
	}
	fmt.Fprintf(progress, "demand: %d daemons ready\n", r.Daemons)
	sleep(ctx, settle)
	d := &demand{
		plan: &p, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientConns}},
		inside: rates.NewChecker(rates.Organisations(), time.Now()), seen: map[string]*rates.OrganisationCount{}, other: map[string]int{},
	}
	for _, o := range rates.Organisations() {
		d.seen[o.Organisation] = &rates.OrganisationCount{Organisation: o.Organisation, Refusals: map[string]int{}}
	}
	run, stop := context.WithCancel(ctx)
	var streams sync.WaitGroup
	for i, o := range rates.Organisations() {
		streams.Go(func() { d.stream(run, i, o) })
	}
	sleep(ctx, p.Warm)
	var err error
	r.Spent, err = p.part(ctx, func() error {
		d.counting(true)
		sleep(ctx, p.Length)
		d.counting(false)
		return nil
	})
	stop()
	streams.Wait()
	d.fill(&r)
	return r, err
}

const clientConns = 256

// unchanged is the number of no change, so that every key is as it was first given.
const unchanged = -1

// prepare publishes the lists and waits for the fleet.
func (p *Demand) prepare(ctx context.Context) error {
	p.OneService = true
	plans := lists.Plans{Organisations: rates.Organisations()}
	p.Organisations = len(plans.Organisations)
	for i := range plans.Organisations {
		plans.Organisations[i].Plan = "plan"
	}
	uses := uses()
	uses.Operations[0].Method = http.MethodPost
	keys := p.keys(unchanged)
	for i := range keys.Keys {
		keys.Keys[i].Organisation = plans.Organisations[i].Organisation
	}
	values := []struct {
		kind  lists.Kind
		value any
	}{{lists.KindHosts, p.hosts()}, {lists.KindKeys, keys}, {lists.KindUses, uses}, {lists.KindPlans, plans}}
	for _, v := range values {
		if _, err := p.publish(ctx, v.kind, v.value); err != nil {
			return err
		}
	}
	return traffic.AwaitReady(ctx, p.operators())
}

func (d *demand) counting(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count = on
}

func (d *demand) stream(ctx context.Context, number int, o lists.Organisation) {
	mean := float64(time.Second) / (o.Rate * d.plan.Share)
	var sending sync.WaitGroup
	defer sending.Wait()
	next := time.Now()
	for {
		next = next.Add(time.Duration(rand.ExpFloat64() * mean))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		at := rand.IntN(len(d.plan.Daemons))
		if d.plan.Skewed {
			at = (number + rand.IntN(spots)) % len(d.plan.Daemons)
		}
		sending.Go(func() { d.send(number, o.Organisation, d.plan.Daemons[at]) })
	}
}

// send asks one daemon and counts its answer.
func (d *demand) send(number int, organisation string, to Daemon) {
	counted := d.arrive(organisation)
	outcome, reason := d.ask(fmt.Sprintf("key-%d", number), to)
	d.mu.Lock()
	defer d.mu.Unlock()
	tally := d.seen[organisation]
	switch {
	case !counted:
	case reason == call.OverRate.String():
		tally.Refusals[reason]++
	default:
		// The rate let it through, whatever came after.
		tally.Admitted++
		if outcome != call.Whole.String() {
			d.other[outcome+" "+reason]++
		}
	}
}

// arrive notes a request, and whether one global bucket would admit it.
func (d *demand) arrive(organisation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	inside := d.inside.Inside(organisation, time.Now())
	if !d.count {
		return false
	}
	d.seen[organisation].Arrivals++
	if inside {
		d.seen[organisation].Inside++
	}
	return true
}

// askTime is how long an answer is waited for.
const askTime = 5 * time.Second

func (d *demand) ask(key string, to Daemon) (outcome, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), askTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Callers.String()+"/service-0/", strings.NewReader("x"))
	if err != nil {
		return "", err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := d.client.Do(req)
	if err != nil {
		return "", "transport"
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return "", errors.Wrap(err, "transport").Error()
	}
	var refusal struct {
		Reason string `json:"reason"`
	}
	if outcome = res.Header.Get(upstream.HeaderOutcome); outcome != call.Whole.String() {
		_ = json.Unmarshal(raw, &refusal)
	}
	return outcome, refusal.Reason
}

func (d *demand) fill(r *DemandResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	inside, wrongful := 0, 0
	for _, o := range rates.Organisations() {
		t := *d.seen[o.Organisation]
		r.Organisations = append(r.Organisations, t)
		inside += t.Inside
		wrongful += max(t.Inside-t.Admitted, 0)
	}
	r.Other = d.other
	r.Percent = 100 * float64(wrongful) / float64(max(inside, 1))
}
