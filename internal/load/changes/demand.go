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

// Demand describes traffic of rates.Organisations to a fleet of real daemons.
type Demand struct {
	Plan
	// Skewed sends each organisation's requests to three consecutive daemons, starting one daemon further for each
	// organisation; otherwise they are spread over all daemons.
	Skewed bool
	// Share is the offered load as a fraction of each organisation's rate; requests arrive as a Poisson process.
	Share float64
	// Warm is the initial time that isn't counted, Length the time that is.
	Warm   time.Duration
	Length time.Duration
}

// DemandResult holds the results of a run.
type DemandResult struct {
	Daemons int    `json:"daemons"`
	Arrival string `json:"arrival"`
	// Percent is by how much the admitted requests fall short of those that one global bucket would have admitted, as a
	// percentage of the latter.
	Percent       float64                   `json:"wrongfulPercent"`
	Organisations []rates.OrganisationCount `json:"organisations"`
	// Other counts responses that were neither whole nor refused with overRate, by outcome and reason.
	Other map[string]int `json:"other"`
	Use   ResourceUse    `json:"spent"`
}

// demand counts the responses to a run's requests.
type demand struct {
	plan          *Demand
	client        *http.Client
	mu            sync.Mutex
	globalBuckets *rates.Checker
	counting      bool
	counts        map[string]*rates.OrganisationCount
	other         map[string]int
}

// skewedDaemons is the number of daemons that receive a skewed organisation's requests.
const skewedDaemons = 3

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
	sleep(ctx, settleTime)
	d := &demand{
		plan: &p, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
		globalBuckets: rates.NewChecker(rates.Organisations(), time.Now()), counts: map[string]*rates.OrganisationCount{}, other: map[string]int{},
	}
	for _, o := range rates.Organisations() {
		d.counts[o.Organisation] = &rates.OrganisationCount{Organisation: o.Organisation, Refusals: map[string]int{}}
	}
	streamCtx, stop := context.WithCancel(ctx)
	var streams sync.WaitGroup
	for i, o := range rates.Organisations() {
		streams.Go(func() { d.runStream(streamCtx, i, o) })
	}
	sleep(ctx, p.Warm)
	var err error
	r.Use, err = p.measureDuring(ctx, func() error {
		d.setCounting(true)
		sleep(ctx, p.Length)
		d.setCounting(false)
		return nil
	})
	stop()
	streams.Wait()
	d.fillResult(&r)
	return r, err
}

const maxIdleConnections = 256

// noChange is passed to Plan.keys for the initial keys of all organisations.
const noChange = -1

// prepare publishes the lists and waits for the fleet.
func (d *Demand) prepare(ctx context.Context) error {
	d.OneService = true
	plans := lists.Plans{Organisations: rates.Organisations()}
	d.Organisations = len(plans.Organisations)
	for i := range plans.Organisations {
		plans.Organisations[i].Plan = "plan"
	}
	useList := uses()
	useList.Operations[0].Method = http.MethodPost
	keys := d.keys(noChange)
	for i := range keys.Keys {
		keys.Keys[i].Organisation = plans.Organisations[i].Organisation
	}
	values := []struct {
		kind  lists.Kind
		value any
	}{{lists.KindHosts, d.hosts()}, {lists.KindKeys, keys}, {lists.KindUses, useList}, {lists.KindPlans, plans}}
	for _, v := range values {
		if _, err := d.publish(ctx, v.kind, v.value); err != nil {
			return err
		}
	}
	return traffic.AwaitReady(ctx, d.operators())
}

func (d *demand) setCounting(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counting = on
}

func (d *demand) runStream(ctx context.Context, number int, o lists.Organisation) {
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
		index := rand.IntN(len(d.plan.Daemons))
		if d.plan.Skewed {
			index = (number + rand.IntN(skewedDaemons)) % len(d.plan.Daemons)
		}
		sending.Go(func() { d.send(number, o.Organisation, d.plan.Daemons[index]) })
	}
}

// send sends one request to the daemon and counts the response.
func (d *demand) send(number int, organisation string, daemon Daemon) {
	counted := d.recordArrival(organisation)
	outcome, reason := d.request(fmt.Sprintf("key-%d", number), daemon)
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.counts[organisation]
	switch {
	case !counted:
	case reason == call.OverRate.String():
		counts.Refusals[reason]++
	default:
		// The rate limit admitted the request, whatever happened afterwards.
		counts.Admitted++
		if outcome != call.Whole.String() {
			d.other[outcome+" "+reason]++
		}
	}
}

// recordArrival counts a request, and whether one global bucket would admit it; outside the counted time it returns false.
func (d *demand) recordArrival(organisation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	inside := d.globalBuckets.Inside(organisation, time.Now())
	if !d.counting {
		return false
	}
	d.counts[organisation].Arrivals++
	if inside {
		d.counts[organisation].Inside++
	}
	return true
}

// requestTimeout is the longest wait for a response.
const requestTimeout = 5 * time.Second

func (d *demand) request(key string, daemon Daemon) (outcome, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon.Callers.String()+"/service-0/", strings.NewReader("x"))
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

func (d *demand) fillResult(r *DemandResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	inside, wrongful := 0, 0
	for _, o := range rates.Organisations() {
		counts := *d.counts[o.Organisation]
		r.Organisations = append(r.Organisations, counts)
		inside += counts.Inside
		wrongful += max(counts.Inside-counts.Admitted, 0)
	}
	r.Other = d.other
	r.Percent = 100 * float64(wrongful) / float64(max(inside, 1))
}
