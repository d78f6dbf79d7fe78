package chain

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/load/virtual"
)

// hostDelay is the one-way delay between two hosts.
const hostDelay = time.Millisecond

// fleet is the state of one run.
type fleet struct {
	clock          virtual.Clock
	random         *rand.Rand
	policy         Policy
	deployment     Deployment
	hostsByService map[string][]lists.Host
	hostsByName    map[string]*host
	hosts          []*host
	organisations  []string
	weights        []int
	nextInstance   int
	buckets        []bucket
	lentRates      *lentRates
	// lossFraction is the fraction of all responses that are lost after the work is done.
	lossFraction float64
	// lastServiceLossFraction is the fraction of the last service's responses that are lost.
	lastServiceLossFraction float64
	runs                    int
	// maxRunsPerRequest is the highest number of runs that one attempt of a caller has caused.
	maxRunsPerRequest int
}

// weightScale converts an organisation's share of the demand to an integer weight.
const weightScale = 100

func newFleet(d Deployment, p Policy, seed uint64) *fleet {
	f := &fleet{
		policy: p, deployment: d, random: rand.New(rand.NewPCG(seed, seed+1)),
		hostsByService: map[string][]lists.Host{}, hostsByName: map[string]*host{},
	}
	f.clock.Now = time.Unix(0, 0)
	for _, s := range d.Services {
		for i := range s.Instances {
			listed := lists.Host{Host: fmt.Sprintf("%s-%d", s.Name, i), Service: s.Name}
			f.hostsByService[s.Name] = append(f.hostsByService[s.Name], listed)
			h := f.newHost(s)
			f.hostsByName[listed.Host] = h
			f.hosts = append(f.hosts, h)
		}
	}
	for i, share := range d.Demand {
		f.organisations = append(f.organisations, fmt.Sprintf("organisation-%d", i))
		f.weights = append(f.weights, int(math.Round(share*weightScale)))
		f.buckets = append(f.buckets, bucket{rate: p.RateFactor * share * d.rate(), refilled: f.clock.Now})
	}
	if p.LendRates {
		f.lentRates = f.newLentRates(seed)
	}
	return f
}

// slow multiplies the instances' work times by a factor.
func (f *fleet) slow(hosts []lists.Host, factor float64) {
	for _, h := range hosts {
		f.hostsByName[h.Host].instance.slowFactor = factor
	}
}

// responseLost reports whether the response to the request is lost.
func (f *fleet) responseLost(r request) bool {
	fraction := f.lossFraction
	if r.last() {
		fraction = max(fraction, f.lastServiceLossFraction)
	}
	return fraction > 0 && f.random.Float64() < fraction
}

// countRun counts a run of the request.
func (f *fleet) countRun(r request) {
	f.runs++
	*r.runs++
	f.maxRunsPerRequest = max(f.maxRunsPerRequest, *r.runs)
}

// bucket is an exact token bucket for an organisation's rate over the whole fleet.
type bucket struct {
	rate     float64
	tokens   float64
	refilled time.Time
}

// burstSeconds is the burst as seconds of the rate.
const burstSeconds = 1

func (b *bucket) spend(now time.Time) bool {
	if b.rate == 0 {
		return true
	}
	b.tokens = min(b.tokens+b.rate*now.Sub(b.refilled).Seconds(), b.rate*burstSeconds)
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// send sends one attempt of a caller to a random host; the response may arrive after the caller has given up.
func (f *fleet) send(r request, done func(ok bool, retryAfter time.Duration)) {
	if f.policy.Naive {
		f.naiveCall(r, attemptsPerHop, func(ok bool) { done(ok, 0) })
		return
	}
	ingress := f.hosts[f.random.IntN(len(f.hosts))]
	f.clock.After(hostDelay, func() {
		ingress.handleCaller(r, func(a answer) {
			f.clock.After(hostDelay, func() { done(a.ok, a.retryAfter) })
		})
	})
}
