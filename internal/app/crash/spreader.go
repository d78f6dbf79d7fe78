package crash

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
	"github.com/foxtailhook/foxtailhook/internal/fleet/multicast"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// Receivers are daemons that a crash is reported to.
type Receivers struct {
	// Listed are those beside other instances. Daemons that are leaving or silent may be left out: they ask when they are back.
	Listed []netip.AddrPort
	// Unlisted are those beside which an instance was until lately, and may be again. Nobody waits for them, since they may be gone.
	Unlisted []netip.AddrPort
}

// ReceiversOf returns the daemons to which content of the routes may come, and with no routes those of the own service.
type ReceiversOf func(routes []string) Receivers

// Spreader reports crashes to the daemons that may be sent the same content, and asks them for those that it has missed.
type Spreader struct {
	table     *quarantine.Table
	peers     *peer.Node
	log       *logrus.Logger
	metrics   *telemetry.Metrics
	receivers ReceiversOf
	// asks has a request to ask another daemon before the interval is over.
	asks chan struct{}
}

const (
	// maxHold bounds how long the results of requests that were at work at a crash wait until other daemons know of it. They must not be repeated
	// before, neither by a daemon nor by their callers, but one daemon that doesn't reply mustn't delay them for long.
	maxHold = 250 * time.Millisecond
	// reportTimeout bounds the wait for a daemon that passes a report on. Each hop has two thirds of the time of the one before it, so that a host
	// further down that doesn't reply isn't taken for a failure of those before it.
	reportTimeout = 900 * time.Millisecond
	// askInterval is how often a daemon asks another one of its service for crashes that it has missed, or that others have forgiven.
	askInterval = 5 * time.Second
	// askTimeout bounds the wait for the reply.
	askTimeout = 500 * time.Millisecond
	// startPause is the pause before a daemon that has just started asks again or looks again whether it knows whom to ask, and startTries bounds the
	// questions.
	startPause = 20 * time.Millisecond
	startTries = 20
)

// NewSpreader returns a spreader that handles the messages of others; it must be called before the node starts.
func NewSpreader(table *quarantine.Table, peers *peer.Node, receivers ReceiversOf, log *logrus.Logger, metrics *telemetry.Metrics) *Spreader {
	s := &Spreader{table: table, peers: peers, receivers: receivers, log: log, metrics: metrics, asks: make(chan struct{}, 1)}
	peer.Handle(peers, peer.KindCrash, s.handleReport)
	peer.Handle(peers, peer.KindQuarantine, s.handleQuestion)
	return s
}

// Spread holds a crash against what was at work, and tells the daemons to which the same content may come. It returns when they know, or after maxHold.
func (s *Spreader) Spread(suspects []Suspect) {
	for _, crash := range reportsOf(suspects) {
		s.spread(crash)
	}
}

func (s *Spreader) spread(crash quarantine.Crash) {
	started := time.Now()
	s.record(crash, netip.Addr{})
	var routes []string
	for route := range crash.Suspects {
		routes = append(routes, route)
	}
	receivers := s.receivers(routes)
	if len(receivers.Unlisted) > 0 {
		go s.passOn(report{Crash: crash, Receivers: receivers.Unlisted, Wait: reportTimeout})
	}
	if len(receivers.Listed) == 0 {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		reached := s.passOn(report{Crash: crash, Receivers: receivers.Listed, Wait: reportTimeout})
		s.log.WithFields(logrus.Fields{"reached": reached, "of": len(receivers.Listed), "tookMs": time.Since(started).Milliseconds()}).Info("crash reported")
	}()
	select {
	case <-done:
	case <-time.After(maxHold):
	}
}

// record holds a crash against what was at work, and logs which contents are refused from now on. from is invalid for a crash of the own instance.
func (s *Spreader) record(crash quarantine.Crash, from netip.Addr) {
	refused := s.table.Report(crash, time.Now())
	if len(refused) == 0 {
		return
	}
	var named []string
	for _, key := range refused[:min(len(refused), MaxLogged)] {
		named = append(named, key.String())
	}
	s.log.WithFields(logrus.Fields{"from": from.String(), "count": len(refused), "contents": named}).Warn("content quarantined")
}

// passOn sends the report to its receivers, over several hops if they are many, and returns how many have it.
func (s *Spreader) passOn(r report) int {
	var reached atomic.Int64
	var sending sync.WaitGroup
	for _, part := range multicast.Split(r.Receivers) {
		sending.Go(func() { reached.Add(int64(s.passOnTo(part, r))) })
	}
	sending.Wait()
	return int(reached.Load())
}

// passOnTo sends the report to the first of the receivers that can be reached, which passes it on to those after it.
func (s *Spreader) passOnTo(receivers []netip.AddrPort, r report) int {
	for len(receivers) > 0 {
		next := report{Crash: r.Crash, Receivers: receivers[1:], Wait: r.Wait * 2 / 3}
		ctx, cancel := context.WithTimeout(context.Background(), r.Wait)
		reply, err := peer.Call[report, confirmation](ctx, s.peers, receivers[0], peer.KindCrash, next)
		cancel()
		if err == nil {
			return reply.Reached
		}
		s.log.WithError(err).WithField("to", receivers[0].String()).Debug("crash report")
		receivers = receivers[1:]
	}
	return 0
}

// handleReport records a crash that another daemon reports, and passes the report on.
func (s *Spreader) handleReport(_ context.Context, from netip.AddrPort, r report) confirmation {
	s.record(r.Crash, from.Addr())
	return confirmation{Reached: 1 + s.passOn(r)}
}

// handleQuestion replies with the crashes that this daemon knows of.
func (s *Spreader) handleQuestion(_ context.Context, _ netip.AddrPort, q question) entries {
	if q.Digest == s.table.Digest() {
		return entries{}
	}
	return entries{Entries: s.table.Entries(time.Now())}
}

// Run asks other daemons of the service for crashes that this one doesn't know of, until ctx ends: at once when it starts or was paused, and then
// periodically, since a report may have missed it while it was cut off. ready reports whether the daemon knows whom to ask.
func (s *Spreader) Run(ctx context.Context, ready func() bool) {
	for tries := 0; tries < startTries && ctx.Err() == nil; pause(ctx, startPause) {
		if !ready() {
			continue
		}
		if s.ask(ctx) {
			break
		}
		tries++
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.asks:
		case <-time.After(askInterval/2 + rand.N(askInterval)):
		}
		s.ask(ctx)
		s.update()
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Ask requests a question right now, since the daemon may have missed reports.
func (s *Spreader) Ask() {
	select {
	case s.asks <- struct{}{}:
	default:
	}
}

// update forgets crashes that no longer count, and updates the metrics.
func (s *Spreader) update() {
	now := time.Now()
	s.table.Expire(now)
	suspected, refused := s.table.Count(now)
	s.metrics.Gauge(telemetry.ContentsSuspected).Update(float64(suspected))
	s.metrics.Gauge(telemetry.ContentsQuarantined).Update(float64(refused))
}

// ask asks a daemon of this service for the crashes that it knows of, and returns false if it doesn't reply. Without other daemons of the service there
// is nobody to ask.
func (s *Spreader) ask(ctx context.Context) bool {
	receivers := s.receivers(nil).Listed
	if len(receivers) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	to := receivers[rand.IntN(len(receivers))]
	reply, err := peer.Call[question, entries](ctx, s.peers, to, peer.KindQuarantine, question{Digest: s.table.Digest()})
	if err == nil && len(reply.Entries) > 0 {
		s.table.Merge(reply.Entries, time.Now())
	}
	return err == nil
}
