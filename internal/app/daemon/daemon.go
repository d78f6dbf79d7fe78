package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/crash"
	"github.com/foxtailhook/foxtailhook/internal/app/settings"
	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/decide/placing"
	"github.com/foxtailhook/foxtailhook/internal/decide/pressure"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
	"github.com/foxtailhook/foxtailhook/internal/wire/platform"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// Daemon is one foxtailhook process, which runs on the same host as its upstream.
type Daemon struct {
	settings  settings.Settings
	log       *logrus.Logger
	metrics   *telemetry.Metrics
	responses *responseMetrics

	view         atomic.Pointer[lists.View]
	servingState atomic.Pointer[servingState]
	members      atomic.Pointer[member.View]
	hosts        usableHosts
	zones        atomic.Pointer[viewZones]
	leaving      atomic.Bool
	// ending is when the requests in flight are ended after the order to shut down.
	ending   *ending
	serving  atomic.Bool
	inFlight *inFlight

	control        *control
	rateLimiter    *rateLimiter
	placer         *placing.Placer
	runNeeds       *budget.Needs
	throttles      *pressure.Throttles
	executor       *executor
	crashes        *crash.Spreader
	peers          *peer.Node
	dedup          *deduplicator
	callerServer   *httpd.Server
	operatorServer *httpd.Server
	// account counts the memory that messages take.
	account *bounded.Account
	memory  *telemetry.Memory
}

// New returns a daemon with the given settings, which must be valid; it opens no socket before Run.
func New(s settings.Settings, log *logrus.Logger) *Daemon {
	d := &Daemon{
		settings:  s,
		inFlight:  newInFlight(),
		ending:    newEnding(),
		log:       log,
		metrics:   telemetry.NewMetrics(s.Host, s.Zone),
		placer:    placing.New(s.Zone, placing.WithRegion(s.Region), placing.WithKind(s.Placing)),
		runNeeds:  budget.NewNeeds(),
		throttles: pressure.New(),
		account:   bounded.NewAccount(memoryLimits(&s)),
	}
	d.responses = newResponseMetrics(d.metrics.Scope)
	d.memory = telemetry.NewMemory(d.account, d.metrics.Scope, log)
	d.view.Store(lists.NewSet().View())
	d.executor = newExecutor(s, upstream.New(s.Upstream, upstream.WithMaxResponse(int64(s.BodyBound)), upstream.WithAccount(d.account), upstream.WithNonIdempotentMaxIdle(s.OnceIdle)))
	d.executor.ending, d.executor.crashed = d.ending, d.upstreamCrashed
	d.rateLimiter = newRateLimiter(d)
	d.control = newControl(d, platform.New(s.Platform, s.Peers.Addr()))
	d.peers = peer.New(s.Peers, peer.WithMaxFrame(s.BodyBound+maxFrameHead), peer.WithLogger(d.peerFault), peer.WithSecrets(s.Secrets...), peer.WithPlaces(d.placeOf), peer.WithAccount(d.account))
	peer.Handle(d.peers, peer.KindCall, d.handleRunRequest)
	d.crashes = crash.NewSpreader(d.executor.quarantine, d.peers, d.crashReceivers, log, d.metrics)
	d.rateLimiter.registerHandlers(d.peers)
	peer.Handle(d.peers, peer.KindDigest, d.handleDigest)
	peer.Handle(d.peers, peer.KindFetch, d.handleFetch)
	d.dedup = newDeduplicator(d)
	d.callerServer = httpd.New(s.Callers, http.HandlerFunc(d.serveCaller), httpd.WithBodyBound(s.BodyBound), httpd.WithMaxConns(s.MaxConns),
		httpd.WithAccount(d.account), httpd.WithHead(s.HeaderBound, s.HeaderTime), httpd.WithRefuser(faultResponse), httpd.WithClosing(d.leaving.Load))
	d.operatorServer = httpd.New(s.Operators, d.operatorRoutes())
	return d
}

// memoryLimits returns the limits of the memory that messages may take: the setting for requests, and as much for responses.
func memoryLimits(s *settings.Settings) bounded.Limits {
	held := int64(s.HeldBytes)
	return bounded.Limits{Total: 2 * held, Each: max(held, int64(s.BodyBound)+maxFrameHead), Requests: held, Small: held / smallHeldDivisor}
}

// smallHeldDivisor divides the setting for messages that are too small to wait.
const smallHeldDivisor = 4

// maxFrameHead is the number of bytes that a message between daemons may add to the request's body.
const maxFrameHead = 1 << 20

// Run serves until ctx ends, then finishes the requests in flight and stops; the error names the listener that failed
// to start.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	d.log.WithFields(logrus.Fields{
		"callers": d.settings.Callers.String(), "peers": d.settings.Peers.String(), "operators": d.settings.Operators.String(),
	}).Info("started")
	<-ctx.Done()
	d.stop()
	return nil
}

func (d *Daemon) start(ctx context.Context) error {
	if err := startAll(d.peers.Start, d.operatorServer.Start); err != nil {
		return err
	}
	d.control.start()
	d.rateLimiter.start()
	d.control.done.Go(d.reportMetrics)
	d.control.done.Go(d.followCrashes)
	d.awaitLists(ctx)
	if err := startAll(d.callerServer.Start); err != nil {
		return err
	}
	d.serving.Store(true)
	return nil
}

func startAll(starts ...func() error) error {
	for _, start := range starts {
		if err := start(); err != nil {
			return errors.Wrap(err, "daemon")
		}
	}
	return nil
}

const (
	listsTimeout      = 3 * time.Second
	listsPollInterval = 10 * time.Millisecond
)

// awaitLists keeps the callers' port closed until the lists and the rate limits are loaded, so that a restart
// refuses no caller: a caller that can't connect goes to another host. After listsTimeout the port opens all the
// same, since a refusal with a reason is better for callers than no response.
func (d *Daemon) awaitLists(ctx context.Context) {
	deadline := time.Now().Add(listsTimeout)
	for !(d.acceptsCallers(time.Now()) && d.rateLimiter.ready.Load()) && ctx.Err() == nil && time.Now().Before(deadline) {
		time.Sleep(listsPollInterval)
	}
}
