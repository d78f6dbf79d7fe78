package router

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
	"github.com/foxtailhook/foxtailhook/internal/fleet/multicast"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// crashReport reports a crash to the daemons beside instances that may be sent the same content.
type crashReport struct {
	Crash quarantine.Crash `msgpack:"crash"`
	// Hosts has the hosts to whose daemons the receiver passes the report on, within Wait.
	Hosts []netip.Addr  `msgpack:"hosts"`
	Wait  time.Duration `msgpack:"wait"`
}

// crashReply says how many daemons have the report, the receiver included.
type crashReply struct {
	Reached int `msgpack:"reached"`
}

// quarantineRequest asks for the crashes that a daemon knows of, unless they are those with the digest.
type quarantineRequest struct {
	Digest uint64 `msgpack:"digest"`
}

// quarantineReply is the reply to a quarantineRequest.
type quarantineReply struct {
	Entries []quarantine.Entry `msgpack:"entries"`
}

const (
	// maxCrashHold bounds how long the results of requests that were at work at a crash wait until other daemons know of it. They must not be
	// repeated before, neither by a daemon nor by their callers, but one daemon that doesn't reply mustn't delay them for long.
	maxCrashHold = 250 * time.Millisecond
	// crashReportTimeout bounds the wait for a daemon that passes a report on. Each hop has two thirds of the time of the one before it, so that a
	// host further down that doesn't reply isn't taken for a failure of those before it.
	crashReportTimeout = 900 * time.Millisecond
	// quarantineInterval is how often a daemon asks another one of its service for crashes that it has missed, or that others have forgiven.
	quarantineInterval = 5 * time.Second
	// quarantineTimeout bounds the wait for the reply.
	quarantineTimeout = 500 * time.Millisecond
	// quarantineStartPause is the pause before a daemon that has just started asks again or looks again whether it knows whom to ask, and
	// quarantineStartTries bounds the questions.
	quarantineStartPause = 20 * time.Millisecond
	quarantineStartTries = 20
	// maxTickGap is the longest time between two ticks of a daemon that wasn't paused.
	maxTickGap = 5 * tickInterval
)

// spreadCrash records the crash, and tells the daemons to which the content at work may come. It returns when they know, or after maxCrashHold.
func (r *Router) spreadCrash(crash quarantine.Crash) {
	started := time.Now()
	r.recordCrash(crash, r.settings.Peers.Addr())
	hosts := r.crashReceivers(crash)
	if len(hosts) == 0 {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		reached := r.passOn(crashReport{Crash: crash, Hosts: hosts, Wait: crashReportTimeout})
		r.log.WithFields(logrus.Fields{"reached": reached, "of": len(hosts), "tookMs": time.Since(started).Milliseconds()}).Info("crash reported")
	}()
	await(context.Background(), done, started.Add(maxCrashHold))
}

// recordCrash holds a crash against what was at work, and logs which contents are refused from now on.
func (r *Router) recordCrash(crash quarantine.Crash, from netip.Addr) {
	refused := r.executor.quarantine.Report(crash, time.Now())
	if len(refused) == 0 {
		return
	}
	var named []string
	for _, key := range refused[:min(len(refused), maxLoggedSuspects)] {
		named = append(named, key.String())
	}
	r.log.WithFields(logrus.Fields{"from": from.String(), "count": len(refused), "contents": named}).Warn("content quarantined")
}

// crashReceivers returns the hosts of the other instances to which the contents that were at work may be sent, without those whose daemons are
// leaving or silent: these ask when they are back.
func (r *Router) crashReceivers(crash quarantine.Crash) []netip.Addr {
	view := r.view.Load()
	services := map[string]bool{r.settings.Service: true}
	if view.Table != nil {
		for route := range crash.Suspects {
			for service := range view.Table.Shares(route) {
				services[service] = true
			}
		}
	}
	hosts := map[netip.Addr]bool{}
	for service := range services {
		for _, inst := range view.InstancesOf(service) {
			hosts[inst.Address.Addr()] = true
		}
	}
	delete(hosts, r.settings.Peers.Addr())
	maps.DeleteFunc(hosts, func(host netip.Addr, _ bool) bool { return r.reporter.unavailable(host) })
	return slices.Collect(maps.Keys(hosts))
}

// passOn sends the report to its hosts, over several hops if they are many, and returns how many have it.
func (r *Router) passOn(report crashReport) int {
	var reached atomic.Int64
	var sending sync.WaitGroup
	for _, part := range multicast.Split(report.Hosts) {
		sending.Go(func() { reached.Add(int64(r.passOnTo(part, report))) })
	}
	sending.Wait()
	return int(reached.Load())
}

// passOnTo sends the report to the first of the hosts that can be reached, which passes it on to those after it.
func (r *Router) passOnTo(hosts []netip.Addr, report crashReport) int {
	for len(hosts) > 0 {
		next := crashReport{Crash: report.Crash, Hosts: hosts[1:], Wait: report.Wait * 2 / 3}
		ctx, cancel := context.WithTimeout(context.Background(), report.Wait)
		reply, err := peer.Call[crashReport, crashReply](ctx, r.peers, r.peerOf(hosts[0]), peer.KindCrash, next)
		cancel()
		if err == nil {
			return reply.Reached
		}
		r.log.WithError(err).WithField("host", hosts[0].String()).Debug("crash report")
		hosts = hosts[1:]
	}
	return 0
}

// handleCrash records a crash that another daemon reports, and passes the report on.
func (r *Router) handleCrash(_ context.Context, from netip.AddrPort, report crashReport) crashReply {
	r.recordCrash(report.Crash, from.Addr())
	return crashReply{Reached: 1 + r.passOn(report)}
}

// handleQuarantine replies with the crashes that this daemon knows of.
func (r *Router) handleQuarantine(_ context.Context, _ netip.AddrPort, req quarantineRequest) quarantineReply {
	if req.Digest == r.executor.quarantine.Digest() {
		return quarantineReply{}
	}
	return quarantineReply{Entries: r.executor.quarantine.Entries(time.Now())}
}

// noticePause requests a question for crashes if the time between two ticks says that the daemon was paused.
func (c *control) noticePause(now time.Time) {
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > maxTickGap {
		select {
		case c.resumed <- struct{}{}:
		default:
		}
	}
	c.lastTick = now
}

// followQuarantine asks other daemons of the service for crashes that this one doesn't know of: at once when it starts or was paused, and then
// periodically, since a report may have missed it while it was cut off.
func (c *control) followQuarantine() {
	for tries := 0; tries < quarantineStartTries && c.ctx.Err() == nil; sleep(c.ctx, quarantineStartPause) {
		if !c.router.view.Load().Complete() {
			continue
		}
		if c.router.askForCrashes(c.ctx) {
			break
		}
		tries++
	}
	for c.ctx.Err() == nil {
		select {
		case <-c.ctx.Done():
		case <-c.resumed:
		case <-time.After(quarantineInterval/2 + rand.N(quarantineInterval)):
		}
		c.router.askForCrashes(c.ctx)
		c.router.updateQuarantine()
	}
}

// updateQuarantine forgets crashes that no longer count, and updates the metrics.
func (r *Router) updateQuarantine() {
	now := time.Now()
	r.executor.quarantine.Expire(now)
	suspected, refused := r.executor.quarantine.Count(now)
	r.metrics.Gauge(telemetry.ContentsSuspected).Update(float64(suspected))
	r.metrics.Gauge(telemetry.ContentsQuarantined).Update(float64(refused))
}

// askForCrashes asks a daemon of this service for the crashes that it knows of, and returns false if it doesn't reply. Without other daemons of the
// service there is nobody to ask.
func (r *Router) askForCrashes(ctx context.Context) bool {
	hosts := r.crashReceivers(quarantine.Crash{})
	if len(hosts) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	to := r.peerOf(hosts[rand.IntN(len(hosts))])
	reply, err := peer.Call[quarantineRequest, quarantineReply](ctx, r.peers, to, peer.KindQuarantine, quarantineRequest{Digest: r.executor.quarantine.Digest()})
	if err == nil && len(reply.Entries) > 0 {
		r.executor.quarantine.Merge(reply.Entries, time.Now())
	}
	return err == nil
}
