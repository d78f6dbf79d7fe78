package daemon

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/ledger"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// repeats lets a request that may not be repeated run once for its idempotency key.
//
// All attempts with a key meet at its holder, one of the service's hosts, which
// remembers what became of the first. The holder places the request like any
// other; only the memory has a fixed place.
type repeats struct {
	daemon  *Daemon
	ledger  *ledger.Ledger
	history *ledger.History
	window  time.Duration
	passed  atomic.Bool

	// addresses are those of the hosts that are asked, also of such that the list
	// has dropped: only they can say that they have left the earlier list.
	addresses atomic.Pointer[map[string]netip.AddrPort]
}

func newRepeats(d *Daemon) *repeats {
	s := d.settings
	// A repeat that was sent at the end of the window is still on its way for as
	// long as a request may take. Forgotten meanwhile, it would run again.
	window := s.RepeatWindow + s.MaxTimeout
	r := &repeats{
		daemon:  d,
		ledger:  ledger.New(window, s.RepeatKeys, s.RepeatBytes, time.Now()),
		history: ledger.NewHistory(window),
		window:  window,
	}
	peer.Handle(d.peers, peer.KindOnce, r.takeOnce)
	peer.Handle(d.peers, peer.KindRecall, r.takeRecall)
	peer.Handle(d.peers, peer.KindLegacy, r.takeLegacy)
	return r
}

// observe notes the hosts of the daemon's own service; it runs on the control thread.
func (r *repeats) observe(view *lists.View, now time.Time) {
	r.history.Observe(view.Version(lists.KindHosts), holders(view, r.daemon.settings.Service), now)
	r.remember(view, now)
}

// remember keeps the addresses of the hosts that may be asked.
func (r *repeats) remember(view *lists.View, now time.Time) {
	next := map[string]netip.AddrPort{}
	if before := r.addresses.Load(); before != nil {
		for _, name := range r.history.Everyone(now) {
			if at, ok := (*before)[name]; ok {
				next[name] = at
			}
		}
	}
	for _, h := range view.HostsOf(r.daemon.settings.Service) {
		next[h.Host] = h.Peer
	}
	r.addresses.Store(&next)
}

// holders returns the hosts of a service among which keys are spread. A leaving
// host passes on what it remembers, so it holds none.
func holders(view *lists.View, service string) []string {
	var names []string
	for _, h := range view.HostsOf(service) {
		if !h.Leaving {
			names = append(names, h.Host)
		}
	}
	return names
}

const (
	// holderTries and holderPause bound how long a request follows its key's
	// holder while daemons take up a new host list one after another.
	holderTries = 4
	holderPause = 150 * time.Millisecond
)

// route runs a request at its key's holder if it must not be repeated, else anywhere.
func (r *repeats) route(ctx context.Context, a admitted) call.Answer {
	if a.request.Idempotent || a.request.IdempotencyKey == "" {
		return r.daemon.dispatch(ctx, a)
	}
	ctx, cancel := context.WithDeadline(ctx, a.request.Deadline)
	defer cancel()
	answer := call.Refuse(call.NoUpstream, time.Second)
	for try := 1; try <= holderTries; try++ {
		answer = r.toHolder(ctx, a)
		if answer.Outcome != call.NotRun || answer.Reason != call.Draining {
			break
		}
		sleep(ctx, holderPause)
	}
	answer.BudgetLeft = a.account.Left()
	return answer
}

func keyOf(q *call.Request) ledger.Key {
	return ledger.Key{Organisation: q.Organisation, Operation: q.Operation, Text: q.IdempotencyKey}
}

func (r *repeats) toHolder(ctx context.Context, a admitted) call.Answer {
	view := r.daemon.view.Load()
	holder := ledger.Holder(keyOf(&a.request), holders(view, a.request.Service))
	host, ok := view.Host(holder)
	if !ok {
		return call.Refuse(call.NoUpstream, time.Second)
	}
	if holder == r.daemon.settings.Host {
		return r.hold(ctx, a)
	}
	if back := r.daemon.members.Load().Back(holder, time.Now()); back > 0 {
		return call.Refuse(call.NoUpstream, back)
	}
	sent := a.request
	if sent.Budget = r.daemon.draw(ctx, a); sent.Budget == 0 {
		return unfunded(ctx)
	}
	answer := r.handOn(ctx, host, &sent)
	a.account.Settle(sent.Budget, answer.BudgetLeft)
	return answer
}

func (r *repeats) handOn(ctx context.Context, host lists.Host, sent *call.Request) call.Answer {
	back, err := peer.Call[handoff, handback](ctx, r.daemon.peers, host.Peer, peer.KindOnce, newHandoff(sent, time.Now()))
	if err == nil {
		return back.answer()
	}
	answer := r.daemon.unanswered(sent, err)
	// A holder in another region is nobody's neighbour: unless its requests raise a doubt, each
	// of them waits for it until its own time is up, for as long as the regions are apart.
	r.daemon.judge(host.Host, answer)
	return answer
}

func (r *repeats) takeOnce(ctx context.Context, _ netip.AddrPort, h handoff) handback {
	defer r.daemon.inFlight.begin().end()
	a := admitted{request: *h.request(time.Now()), account: budget.New(h.Budget)}
	release, ok := r.daemon.callers.Hold(len(h.Body))
	if !ok {
		return newHandback(full(&a.request))
	}
	defer release()
	answer := r.hold(ctx, a)
	answer.BudgetLeft = a.account.Left()
	return newHandback(answer)
}

// hold is the holder's part: it runs the request, or answers what became of the one that came first.
func (r *repeats) hold(ctx context.Context, a admitted) call.Answer {
	key := keyOf(&a.request)
	if r.passed.Load() || ledger.Holder(key, r.history.Hosts()) != r.daemon.settings.Host {
		return call.Refuse(call.Draining, time.Second)
	}
	fingerprint := ledger.NewFingerprint(a.request.Method, a.request.Path, a.request.Body)
	ctx, cancel := context.WithDeadline(ctx, a.request.Deadline)
	defer cancel()
	for {
		ticket := r.ledger.Begin(key, fingerprint, time.Now())
		switch ticket.Claim {
		case ledger.Begun:
			return r.begun(ctx, a, key, ticket)
		case ledger.Joined:
			select {
			case <-ticket.Done:
				continue
			case <-ctx.Done():
				return call.UnknownOutcome(call.Repeated)
			}
		case ledger.Answered:
			return ticket.Answer
		case ledger.Mismatched:
			return call.Refuse(call.Repeated, 0)
		case ledger.Full:
			return call.Refuse(call.Overloaded, ticket.Wait)
		default:
			return call.UnknownOutcome(call.Repeated)
		}
	}
}

// begun runs the request of a key that is certainly new.
//
// The run goes on when its first caller hangs up: it is bounded by its deadline,
// and the caller comes back with the key for the answer.
func (r *repeats) begun(ctx context.Context, a admitted, key ledger.Key, t ledger.Ticket) call.Answer {
	answer, known := r.ask(ctx, key, t)
	if known {
		r.ledger.Release(key, time.Now())
	} else {
		answer = r.daemon.dispatch(context.WithoutCancel(ctx), a)
		r.ledger.Finish(key, answer, time.Now())
	}
	r.daemon.log.WithFields(logrus.Fields{
		"decision": "hold", "requestId": a.request.ID, "organisation": a.request.Organisation, "operation": a.request.Operation,
		"new": !known, "outcome": answer.Outcome.String(), "reason": answer.Reason.String(),
	}).Info("route")
	return answer
}

// ask returns what the other daemons say of a key, or false if no request with it can have run.
func (r *repeats) ask(ctx context.Context, key ledger.Key, t ledger.Ticket) (call.Answer, bool) {
	now := time.Now()
	q := ledger.Evidence{
		Self: r.daemon.settings.Host, Own: r.ledger.Own(now), Moves: t.Moves, Window: r.window,
		Need: key.Age(now, r.window), Required: r.history.Required(key, now),
	}
	if q.Need > r.window {
		return call.UnknownOutcome(call.Repeated), true
	}
	if r.history.Confirmed(now) && !q.Asking() {
		return call.Answer{}, false
	}
	q.Replies = r.recallAll(ctx, recall{Key: key, Asker: q.Self}, now)
	if m, ok := q.Known(); ok {
		if m.State == ledger.Finished && m.Kept {
			return m.Answer, true
		}
		return call.UnknownOutcome(call.Repeated), true
	}
	switch confirmed := r.history.Confirmed(time.Now()); {
	case confirmed && q.New():
		return call.Answer{}, false
	case q.New() || q.Pending():
		return r.undecided(time.Now()), true
	default:
		return call.UnknownOutcome(call.Repeated), true
	}
}

// undecided is the answer while hosts that may know of a key can't be reached. It
// is no notRun: an attempt before this one may have run where they are.
func (r *repeats) undecided(now time.Time) call.Answer {
	answer := call.UnknownOutcome(call.Undecided)
	answer.RetryAfter = time.Second
	members := r.daemon.members.Load()
	for _, host := range r.history.Hosts() {
		answer.RetryAfter = max(answer.RetryAfter, members.Back(host, now))
	}
	return answer
}

// recallTime bounds how long the other daemons are waited for.
const recallTime = 500 * time.Millisecond

// recallAll asks every daemon that may hold the key, and learns from the same answers whether the host list is theirs too.
// A suspect counts as silent without being asked: for as long as regions are apart, each key in doubt would wait recallTime for it.
func (r *repeats) recallAll(ctx context.Context, question recall, now time.Time) map[string]ledger.RecallReply {
	ctx, cancel := context.WithTimeout(ctx, recallTime)
	defer cancel()
	var addresses map[string]netip.AddrPort
	if known := r.addresses.Load(); known != nil {
		addresses = *known
	}
	members := r.daemon.members.Load()
	replies := map[string]ledger.RecallReply{}
	var mu sync.Mutex
	var asking sync.WaitGroup
	for _, name := range r.history.Everyone(now) {
		to, ok := addresses[name]
		if !ok || name == question.Asker || members.Suspect(name) {
			continue
		}
		asking.Go(func() {
			m, err := peer.Call[recall, ledger.RecallReply](ctx, r.daemon.peers, to, peer.KindRecall, question)
			if err != nil {
				r.daemon.raise(doubt{host: name})
				return
			}
			mu.Lock()
			replies[name] = m
			mu.Unlock()
		})
	}
	asking.Wait()
	words := make(map[string]ledger.ListReport, len(replies))
	for name, m := range replies {
		words[name] = m.Lists
	}
	r.history.Confirm(question.Asker, words, now)
	return replies
}

// recall asks what a daemon knows of a key, and that it lets go of it; without a key it asks for the host list only.
type recall struct {
	Key   ledger.Key `msgpack:"key"`
	Asker string     `msgpack:"asker"`
}

func (r *repeats) takeRecall(_ context.Context, _ netip.AddrPort, q recall) ledger.RecallReply {
	now := time.Now()
	m := ledger.RecallReply{}
	if q.Key != (ledger.Key{}) {
		m = r.ledger.Recall(q.Key, q.Asker, now)
		m.Required = r.history.Required(q.Key, now)
	}
	m.Lists = r.history.Report()
	return m
}

// confirmsPerWindow is how often a daemon asks whether its host list is still
// the others' list; a confirmation lasts half the window, so several may fail.
const confirmsPerWindow = 16

// confirm keeps the host list confirmed until ctx ends, so that requests need not wait for it.
func (r *repeats) confirm(ctx context.Context) {
	for ctx.Err() == nil {
		r.recallAll(ctx, recall{Asker: r.daemon.settings.Host}, time.Now())
		sleep(ctx, r.window/confirmsPerWindow)
	}
}

// legacy is the memory of a daemon that leaves.
type legacy struct {
	From    string          `msgpack:"from"`
	Records []ledger.Record `msgpack:"records"`
	Age     time.Duration   `msgpack:"age"`
}

// accepted tells whether a message was taken over.
type accepted struct {
	OK bool `msgpack:"ok"`
}

func (r *repeats) takeLegacy(_ context.Context, _ netip.AddrPort, l legacy) accepted {
	return accepted{OK: r.ledger.Inherit(l.From, l.Records, l.Age, time.Now())}
}

// legacyTime bounds how long a leaving daemon waits for the others to take over its memory.
const legacyTime = 2 * time.Second

// pass gives the memory to every other host of the service, so that a restart of
// all hosts one by one loses no key; after it this daemon holds no keys.
func (r *repeats) pass() {
	r.passed.Store(true)
	r.daemon.drain()
	ctx, cancel := context.WithTimeout(context.Background(), legacyTime)
	defer cancel()
	now := time.Now()
	out := legacy{From: r.daemon.settings.Host, Records: r.ledger.Records(now), Age: r.ledger.Own(now).Age}
	view := r.daemon.view.Load()
	var passing sync.WaitGroup
	for _, host := range view.HostsOf(r.daemon.settings.Service) {
		if host.Host == out.From {
			continue
		}
		passing.Go(func() {
			got, err := peer.Call[legacy, accepted](ctx, r.daemon.peers, host.Peer, peer.KindLegacy, out)
			if err != nil || !got.OK {
				r.daemon.log.WithField("to", host.Host).Warn("idempotency keys not passed on")
			}
		})
	}
	passing.Wait()
}
