package daemon

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// rateLimiter connects the distributed rate limits to the network. Only the control goroutine uses the home, which owns
// this daemon's shards of the rates and lends their tokens; requests spend tokens from the borrower.
type rateLimiter struct {
	daemon   *Daemon
	home     *rate.Home
	borrower *rate.Borrower
	self     rate.Member
	searches tokenSearches
	// requestTokens asks a home for tokens and returns the time until it has one.
	requestTokens   func(context.Context, rate.Ask) time.Duration
	leaseRequests   atomic.Uint64
	waits           atomic.Uint64
	returned        atomic.Uint64
	mayLend         atomic.Bool
	listsCompleteAt time.Time
	// configuredVersions holds the versions of the lists that were applied last.
	configuredVersions [2]uint64
	ready              atomic.Bool
	cancel             context.CancelFunc
	done               chan struct{}
}

func newRateLimiter(d *Daemon) *rateLimiter {
	now := time.Now()
	incarnation := uint64(now.UnixNano())
	limits := d.settings.Limits()
	self := rate.Member{Host: d.settings.Host, Peer: d.settings.Advertise}
	borrower := rate.NewBorrower(self.Host+"@"+self.Peer.String(), incarnation, limits)
	borrower.SetOwn(self)
	r := &rateLimiter{
		daemon: d, self: self,
		home:     rate.NewHome(self, incarnation, limits, now),
		borrower: borrower,
		searches: newTokenSearches(),
		done:     make(chan struct{}),
	}
	r.requestTokens = r.requestLease
	return r
}

func (r *rateLimiter) registerHandlers(node *peer.Node) {
	peer.Handle(node, peer.KindLease, r.handleLease)
	peer.Handle(node, peer.KindConfirm, r.handleConfirm)
	peer.Handle(node, peer.KindHandover, r.handleConfirm)
}

// configure applies a new view; it runs on the control goroutine.
func (r *rateLimiter) configure(view *lists.View) {
	now := time.Now()
	versions := rateVersions(view)
	previous := r.configuredVersions
	r.configuredVersions = versions
	if versions[0] != previous[0] {
		r.setHosts(view, now)
	}
	if versions[1] != previous[1] {
		r.setPlans(view, now)
	}
	if view.Complete() && r.listsCompleteAt.IsZero() {
		r.listsCompleteAt = now
	}
}

// rateVersions returns the versions of the lists that rates depend on. Changes of the other lists, keys and uses, don't
// make it necessary to go through the rates of all organisations.
func rateVersions(view *lists.View) [2]uint64 {
	return [2]uint64{view.Version(lists.KindHosts), view.Version(lists.KindPlans)}
}

func (r *rateLimiter) setHosts(view *lists.View, now time.Time) {
	members := rate.Members(view.Hosts())
	r.home.SetList(view.Version(lists.KindHosts), members, now)
	r.borrower.SetList(view.Version(lists.KindHosts), members)
}

func (r *rateLimiter) setPlans(view *lists.View, now time.Time) {
	organisations := view.Organisations()
	r.home.SetPlans(organisations, now)
	r.borrower.SetPlans(organisations)
}

// Intervals and timeouts of the messages between daemons.
const (
	// confirmInterval is the interval at which members are asked for their statements while there are any to ask.
	confirmInterval = 20 * time.Millisecond
	// confirmTimeout bounds the wait for a member's statement, from the time of the request.
	confirmTimeout = 2 * time.Second
	// leaseTimeout bounds the wait for one home's lease reply. It is long enough for a round trip to another region, but
	// a home that hangs must not keep waiting requests from homes that have tokens.
	leaseTimeout = 50 * time.Millisecond
)

func (r *rateLimiter) start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(ctx)
}

func (r *rateLimiter) stop() {
	r.cancel()
	<-r.done
}

func (r *rateLimiter) run(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	var prefetched time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		interval := rate.TickEvery
		if r.askNextMember(ctx) {
			interval = confirmInterval
		}
		ticker.Reset(interval)
		if now := time.Now(); interval == rate.TickEvery || now.Sub(prefetched) >= rate.TickEvery {
			prefetched = now
			r.tick(ctx)
		}
	}
}

func (r *rateLimiter) tick(ctx context.Context) {
	for _, ask := range r.borrower.Tick(time.Now()) {
		go r.requestLease(ctx, ask)
	}
	r.daemon.control.do(func() {
		now := time.Now()
		r.home.Tick(now)
		r.updateStatus(now)
	})
}

// readyTimeout is how long a daemon waits until it may lend tokens of its own shards before it accepts callers
// all the same, since other homes may have tokens for it.
const readyTimeout = 3 * time.Second

func (r *rateLimiter) updateStatus(now time.Time) {
	status := r.home.Status(now)
	if was := r.mayLend.Swap(status.MayLend); was != status.MayLend {
		r.daemon.log.WithFields(logrus.Fields{"mayLend": status.MayLend, "hostsVersion": status.Version, "members": status.Members}).Info("rates")
	}
	if !r.listsCompleteAt.IsZero() && (!status.Listed || status.MayLend && status.Settled || now.Sub(r.listsCompleteAt) >= readyTimeout) {
		r.ready.Store(true)
	}
	scope := r.daemon.metrics.Scope
	scope.Gauge(telemetry.RateShards).Update(float64(status.Shards))
	scope.Gauge(telemetry.RateTokensOut).Update(float64(status.Lent))
	scope.Gauge(telemetry.RateTokensLent).Update(float64(status.Tokens))
	scope.Gauge(telemetry.RateLeaseRequests).Update(float64(r.leaseRequests.Load()))
}

// askNextMember asks the next member for its statement, and reports whether there was one to ask.
func (r *rateLimiter) askNextMember(ctx context.Context) bool {
	var to rate.Member
	var ask rate.Statement
	due := false
	asked := time.Now()
	r.daemon.control.do(func() {
		if to, due = r.home.NextAsk(asked); due {
			ask = r.home.Statement(asked)
		}
	})
	if due {
		go r.confirmWith(ctx, to, ask, asked)
	}
	return due
}

func (r *rateLimiter) confirmWith(ctx context.Context, to rate.Member, ask rate.Statement, asked time.Time) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	reply, err := peer.Call[rate.Statement, rate.Statement](ctx, r.daemon.peers, to.Peer, peer.KindConfirm, ask)
	if err != nil || reply.From != to {
		return
	}
	r.daemon.control.do(func() { r.home.Hear(reply, asked, time.Now()) })
}

func (r *rateLimiter) handleConfirm(_ context.Context, _ netip.AddrPort, ask rate.Statement) rate.Statement {
	var reply rate.Statement
	r.daemon.control.do(func() { reply = r.home.AnswerStatement(ask, time.Now()) })
	return reply
}

func (r *rateLimiter) handleLease(_ context.Context, _ netip.AddrPort, ask rate.LeaseAsk) rate.LeaseReply {
	var reply rate.LeaseReply
	r.daemon.control.do(func() { reply = r.home.AnswerLease(ask, time.Now()) })
	return reply
}

// requestLease asks a home for tokens, applies the reply and returns the time until the home has a token.
func (r *rateLimiter) requestLease(ctx context.Context, ask rate.Ask) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	asked := time.Now()
	if ask.Home == r.self {
		return r.borrower.Hear(ask.Home, r.handleLease(ctx, netip.AddrPort{}, ask.Message), asked, time.Now())
	}
	// If the homes of an unreachable region were asked, each search would try them one after another until no time is left
	// for the homes that can reply. A lease request may be the only message to them, so its failure is reported below.
	if r.daemon.members.Load().Suspect(ask.Home.Host) {
		r.borrower.Lost(ask, asked)
		return rate.UnsettledWait
	}
	r.leaseRequests.Add(1)
	reply, err := peer.Call[rate.LeaseAsk, rate.LeaseReply](ctx, r.daemon.peers, ask.Home.Peer, peer.KindLease, ask.Message)
	if err != nil {
		r.borrower.Lost(ask, time.Now())
		r.daemon.reportFailure(hostFailure{host: ask.Home.Host})
		return rate.UnsettledWait
	}
	return r.borrower.Hear(ask.Home, reply, asked, time.Now())
}

// handoverTimeout bounds how long a leaving daemon tries to reach the other members.
const handoverTimeout = 500 * time.Millisecond

// handOverShards gives up this daemon's shards and states so to the other members. Otherwise the shards would stay
// unused for as long as those of an unreachable member do (rate.Limits.Fence).
// A lost message delays the handover but never lets two daemons lend the same tokens.
func (r *rateLimiter) handOverShards() {
	var others []rate.Member
	var statement rate.Statement
	r.daemon.control.do(func() {
		now := time.Now()
		others = r.home.Cease(now)
		statement = r.home.Statement(now)
	})
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	results := make(chan bool, len(others))
	semaphore := make(chan struct{}, maxHandovers)
	for _, to := range others {
		go func() {
			semaphore <- struct{}{}
			_, err := peer.Call[rate.Statement, rate.Statement](ctx, r.daemon.peers, to.Peer, peer.KindHandover, statement)
			<-semaphore
			results <- err == nil
		}()
	}
	count := 0
	for range others {
		if <-results {
			count++
		}
	}
	r.daemon.log.WithFields(logrus.Fields{"told": count, "of": len(others)}).Info("shards handed over")
}

// maxHandovers is the maximum number of handover messages in flight.
const maxHandovers = 16

// RateStatus is the part of /statusz on rate limits; times are in RFC 3339, or empty if not set.
type RateStatus struct {
	MayLend       bool   `json:"mayLend"`
	HostsVersion  uint64 `json:"hostsVersion"`
	Members       int    `json:"members"`
	Organisations int    `json:"organisations"`
	Shards        int    `json:"shards"`
	TokensOut     int    `json:"tokensOut"`
	TokensLent    uint64 `json:"tokensLent"`
	TokensHere    int    `json:"tokensHere"`
	Asks          uint64 `json:"asks"`
	Waits         uint64 `json:"waits"`
	GivenBack     uint64 `json:"givenBack"`
	LendsUntil    string `json:"lendsUntil"`
	FencedUntil   string `json:"fencedUntil"`
}

// status runs on the control goroutine.
func (r *rateLimiter) status(now time.Time) RateStatus {
	s := r.home.Status(now)
	_, cached := r.borrower.Purses(now)
	return RateStatus{
		MayLend: s.MayLend, HostsVersion: s.Version, Members: s.Members, Organisations: s.Organisations, Shards: s.Shards,
		TokensOut: s.Lent, TokensLent: s.Tokens, TokensHere: cached, Asks: r.leaseRequests.Load(),
		Waits: r.waits.Load(), GivenBack: r.returned.Load(),
		LendsUntil: formatTime(s.LendsUntil), FencedUntil: formatTime(s.FencedUntil),
	}
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}
