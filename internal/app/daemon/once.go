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

// deduplicator runs a request whose operation is not idempotent only once per idempotency key, however often its caller
// retries it.
//
// All attempts with the same key go to its holder, one of the service's hosts, which remembers the outcome of the first
// attempt. The holder dispatches the request like any other; only the record of the outcome is bound to a host.
type deduplicator struct {
	daemon     *Daemon
	ledger     *ledger.Ledger
	history    *ledger.History
	window     time.Duration
	handedOver atomic.Bool

	// addresses are those of the hosts that may be asked about a key. They include hosts that were dropped from the host
	// list, since only these can confirm that they no longer act on the earlier list.
	addresses atomic.Pointer[map[string]netip.AddrPort]
}

func newDeduplicator(d *Daemon) *deduplicator {
	s := d.settings
	// A client retry sent at the end of the window may still be on its way for as long as a request may take. If the key
	// were forgotten before it arrives, the request would run a second time.
	window := s.RepeatWindow + s.MaxTimeout
	r := &deduplicator{
		daemon:  d,
		ledger:  ledger.New(window, s.RepeatKeys, s.RepeatBytes, time.Now()),
		history: ledger.NewHistory(window),
		window:  window,
	}
	peer.Handle(d.peers, peer.KindRunOnce, r.handleOnce)
	peer.Handle(d.peers, peer.KindRecall, r.handleRecall)
	peer.Handle(d.peers, peer.KindKeyTransfer, r.handleTransfer)
	return r
}

// observe records the hosts of the daemon's own service; it runs on the control goroutine.
func (d *deduplicator) observe(view *lists.View, now time.Time) {
	d.history.Observe(view.Version(lists.KindHosts), holders(view, d.daemon.settings.Service), now)
	d.updateAddresses(view, now)
}

// updateAddresses keeps the addresses of all hosts that may still be asked about a key.
func (d *deduplicator) updateAddresses(view *lists.View, now time.Time) {
	addresses := map[string]netip.AddrPort{}
	if previous := d.addresses.Load(); previous != nil {
		for _, name := range d.history.AllHosts(now) {
			if address, ok := (*previous)[name]; ok {
				addresses[name] = address
			}
		}
	}
	for _, h := range view.HostsOf(d.daemon.settings.Service) {
		addresses[h.Host] = h.Peer
	}
	d.addresses.Store(&addresses)
}

// holders returns the hosts of a service that may hold keys. A leaving host transfers its keys, so it holds none.
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
	// maxHolderAttempts and holderRetryDelay bound how long a request looks for its key's holder while daemons
	// apply a new host list one after another.
	maxHolderAttempts = 4
	holderRetryDelay  = 150 * time.Millisecond
)

// route sends a request with an idempotency key to the key's holder unless its operation is idempotent. It dispatches
// all others to any host.
func (d *deduplicator) route(ctx context.Context, a admittedRequest) call.Answer {
	if a.request.Idempotent || a.request.IdempotencyKey == "" {
		return d.daemon.dispatch(ctx, a)
	}
	ctx, cancel := context.WithDeadline(ctx, a.request.Deadline)
	defer cancel()
	answer := call.Refuse(call.NoUpstream, time.Second)
	for attempt := 1; attempt <= maxHolderAttempts; attempt++ {
		answer = d.sendToHolder(ctx, a)
		if answer.Outcome != call.NotRun || answer.Reason != call.Draining {
			break
		}
		sleep(ctx, holderRetryDelay)
	}
	answer.BudgetLeft = a.account.Left()
	return answer
}

func keyOf(r *call.Request) ledger.Key {
	return ledger.Key{Organisation: r.Organisation, Operation: r.Operation, Text: r.IdempotencyKey}
}

func (d *deduplicator) sendToHolder(ctx context.Context, a admittedRequest) call.Answer {
	view := d.daemon.view.Load()
	holder := ledger.Holder(keyOf(&a.request), holders(view, a.request.Service))
	host, ok := view.Host(holder)
	if !ok {
		return call.Refuse(call.NoUpstream, time.Second)
	}
	if holder == d.daemon.settings.Host {
		return d.runOnce(ctx, a)
	}
	if retryAfter := d.daemon.members.Load().RetryDelay(holder, time.Now()); retryAfter > 0 {
		return call.Refuse(call.NoUpstream, retryAfter)
	}
	sent := a.request
	if sent.Budget = d.daemon.drawBudget(ctx, a); sent.Budget == 0 {
		return noBudgetRefusal(ctx)
	}
	if reason := a.keyCheck.run(ctx); reason != call.None {
		a.account.Settle(sent.Budget, sent.Budget)
		return refuseKey(reason)
	}
	answer := d.forwardToHolder(ctx, host, &sent, d.daemon.ending.cutoff(), a.keyCheck)
	a.account.Settle(sent.Budget, answer.BudgetLeft)
	return answer
}

func (d *deduplicator) forwardToHolder(ctx context.Context, host lists.Host, sent *call.Request, finishBy time.Time, check keyCheck) call.Answer {
	reply, err := d.daemon.forward(ctx, peer.KindRunOnce, host, sent, finishBy, check)
	if err == nil {
		return reply.decision(ctx)
	}
	answer := d.daemon.forwardingFailure(sent, err)
	// The holder may be in another region, where this daemon exchanges no digests with it. Unless failed requests are
	// reported, each of them would wait for the holder until its own deadline for as long as the regions are partitioned.
	d.daemon.checkAnswer(host.Host, answer)
	return answer
}

func (d *deduplicator) handleOnce(ctx context.Context, from netip.AddrPort, req runRequest) runResult {
	defer d.daemon.inFlight.begin().end()
	now := time.Now()
	a := admittedRequest{request: *req.request(now), finishBy: req.finishBy(now), account: budget.New(req.Budget)}
	a.request.Receiver = from.Addr()
	release, ok := d.daemon.holdRequest(&req)
	if !ok {
		return newRunResult(bodyMemoryRefusal(&a.request))
	}
	defer release()
	answer := d.runOnce(ctx, a)
	answer.BudgetLeft = a.account.Left()
	return newRunResult(answer)
}

// runOnce runs a request on its key's holder, or returns the outcome of the request that used the key first.
func (d *deduplicator) runOnce(ctx context.Context, a admittedRequest) call.Answer {
	key := keyOf(&a.request)
	if d.handedOver.Load() || ledger.Holder(key, d.history.Hosts()) != d.daemon.settings.Host {
		return call.Refuse(call.Draining, time.Second)
	}
	fingerprint := ledger.NewFingerprint(a.request.Method, a.request.Path, a.request.Body)
	ctx, cancel := context.WithDeadline(ctx, a.request.Deadline)
	defer cancel()
	for {
		ticket := d.ledger.Begin(key, fingerprint, time.Now())
		switch ticket.Claim {
		case ledger.Begun:
			return d.runNewKey(ctx, a, key, ticket)
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

// runNewKey runs the request if no other daemon knows its key.
//
// The run goes on if the caller disconnects: its deadline bounds it, and the caller may retry with the same key
// to get the response.
func (d *deduplicator) runNewKey(ctx context.Context, a admittedRequest, key ledger.Key, ticket ledger.Ticket) call.Answer {
	answer, known := d.askOthers(ctx, key, ticket)
	if known {
		d.ledger.Release(key, time.Now())
	} else {
		answer = d.daemon.dispatch(context.WithoutCancel(ctx), a)
		kept := answer
		kept.Held = nil
		d.ledger.Finish(key, kept, time.Now())
	}
	d.daemon.log.WithFields(logrus.Fields{
		"decision": "hold", "requestId": a.request.ID, "organisation": a.request.Organisation, "operation": a.request.Operation,
		"new": !known, "outcome": answer.Outcome.String(), "reason": answer.Reason.String(),
	}).Info("route")
	return answer
}

// askOthers asks the other daemons about a key. It returns the response if a request with the key ran or may have run,
// and false if none can have run.
func (d *deduplicator) askOthers(ctx context.Context, key ledger.Key, ticket ledger.Ticket) (call.Answer, bool) {
	now := time.Now()
	evidence := ledger.Evidence{
		Self: d.daemon.settings.Host, Own: d.ledger.Coverage(now), Transfers: ticket.Transfers, Window: d.window,
		MaxKeyAge: key.MaxAge(now, d.window), PossibleHolders: d.history.PossibleHolders(key, now),
	}
	if evidence.MaxKeyAge > d.window {
		return call.UnknownOutcome(call.Repeated), true
	}
	if d.history.Confirmed(now) && !evidence.NeedsRecall() {
		return call.Answer{}, false
	}
	evidence.Replies = d.recall(ctx, recallRequest{Key: key, Asker: evidence.Self}, now)
	if reply, ok := evidence.Known(); ok {
		if reply.State == ledger.Finished && reply.HasAnswer {
			return reply.Answer, true
		}
		return call.UnknownOutcome(call.Repeated), true
	}
	switch confirmed := d.history.Confirmed(time.Now()); {
	case confirmed && evidence.ProvesNew():
		return call.Answer{}, false
	case evidence.ProvesNew() || evidence.OnlyRepliesMissing():
		return d.undecided(time.Now()), true
	default:
		return call.UnknownOutcome(call.Repeated), true
	}
}

// undecided is the response while hosts that may know of a key can't be reached. Its outcome is unknown rather than
// not run, since an earlier attempt may have run on one of those hosts.
func (d *deduplicator) undecided(now time.Time) call.Answer {
	answer := call.UnknownOutcome(call.Undecided)
	answer.RetryAfter = time.Second
	members := d.daemon.members.Load()
	for _, host := range d.history.Hosts() {
		answer.RetryAfter = max(answer.RetryAfter, members.RetryDelay(host, now))
	}
	return answer
}

// recallTimeout bounds the wait for the other daemons' replies about a key.
const recallTimeout = 500 * time.Millisecond

// recall asks every daemon that may know the key; the replies also confirm whether those daemons have the same host
// list. Suspects count as not replying without being asked: while regions are partitioned, each request whose key must
// be asked about would wait recallTimeout for them.
func (d *deduplicator) recall(ctx context.Context, query recallRequest, now time.Time) map[string]ledger.RecallReply {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var addresses map[string]netip.AddrPort
	if known := d.addresses.Load(); known != nil {
		addresses = *known
	}
	members := d.daemon.members.Load()
	replies := map[string]ledger.RecallReply{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, name := range d.history.AllHosts(now) {
		to, ok := addresses[name]
		if !ok || name == query.Asker || members.Suspect(name) {
			continue
		}
		calls.Go(func() {
			reply, err := peer.Call[recallRequest, ledger.RecallReply](ctx, d.daemon.peers, to, peer.KindRecall, query)
			if err != nil {
				d.daemon.reportFailure(hostFailure{host: name})
				return
			}
			mu.Lock()
			replies[name] = reply
			mu.Unlock()
		})
	}
	calls.Wait()
	reports := make(map[string]ledger.ListReport, len(replies))
	for name, reply := range replies {
		reports[name] = reply.Lists
	}
	d.history.Confirm(query.Asker, reports, now)
	return replies
}

// recallRequest asks what a daemon knows of a key, and to give the key up; without a key it asks for the host list only.
type recallRequest struct {
	Key   ledger.Key `msgpack:"key"`
	Asker string     `msgpack:"asker"`
}

func (d *deduplicator) handleRecall(_ context.Context, _ netip.AddrPort, query recallRequest) ledger.RecallReply {
	now := time.Now()
	reply := ledger.RecallReply{}
	if query.Key != (ledger.Key{}) {
		reply = d.ledger.Recall(query.Key, query.Asker, now)
		reply.PossibleHolders = d.history.PossibleHolders(query.Key, now)
	}
	reply.Lists = d.history.Report()
	return reply
}

// confirmsPerWindow is how often per window a daemon asks whether the others have the same host list. A confirmation is
// valid for half the window, so several may fail in a row.
const confirmsPerWindow = 16

// keepConfirmed confirms the host list periodically until ctx ends, so that requests need not wait for a confirmation.
func (d *deduplicator) keepConfirmed(ctx context.Context) {
	for ctx.Err() == nil {
		d.recall(ctx, recallRequest{Asker: d.daemon.settings.Host}, time.Now())
		sleep(ctx, d.window/confirmsPerWindow)
	}
}

// keyTransfer carries the key records of a leaving daemon.
type keyTransfer struct {
	From    string          `msgpack:"from"`
	Records []ledger.Record `msgpack:"records"`
	Age     time.Duration   `msgpack:"age"`
}

// transferReply reports whether the records of a keyTransfer were stored.
type transferReply struct {
	OK bool `msgpack:"ok"`
}

func (d *deduplicator) handleTransfer(_ context.Context, _ netip.AddrPort, transfer keyTransfer) transferReply {
	return transferReply{OK: d.ledger.Inherit(transfer.From, transfer.Records, transfer.Age, time.Now())}
}

// transferTimeout bounds how long a leaving daemon waits for the others to store its records.
const transferTimeout = 2 * time.Second

// transferKeys sends the key records to every other host of the service, so that a rolling restart loses no
// key. Afterwards this daemon holds no keys.
func (d *deduplicator) transferKeys() {
	d.handedOver.Store(true)
	d.daemon.drain()
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	now := time.Now()
	transfer := keyTransfer{From: d.daemon.settings.Host, Records: d.ledger.Records(now), Age: d.ledger.Coverage(now).MemoryAge}
	view := d.daemon.view.Load()
	var calls sync.WaitGroup
	for _, host := range view.HostsOf(d.daemon.settings.Service) {
		if host.Host == transfer.From {
			continue
		}
		calls.Go(func() {
			reply, err := peer.Call[keyTransfer, transferReply](ctx, d.daemon.peers, host.Peer, peer.KindKeyTransfer, transfer)
			if err != nil || !reply.OK {
				d.daemon.log.WithField("to", host.Host).Warn("idempotency keys not passed on")
			}
		})
	}
	calls.Wait()
}
