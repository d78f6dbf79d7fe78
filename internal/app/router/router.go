package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/decide/split"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// Router is one process of the system, beside one instance.
type Router struct {
	settings Settings
	log      *logrus.Logger
	metrics  *telemetry.Metrics
	counts   *counts
	heads    Heads

	view atomic.Pointer[catalog.View]
	// leaving is set with the order to end, and closed a little before nothing more is taken from other daemons.
	leaving atomic.Bool
	closed  atomic.Bool
	left    atomic.Int64
	peers   *peer.Node

	splitter *split.Splitter
	chooser  *choice.Balancer
	quota    *quota.Quota
	repeats  *repeats.Budget
	shedder  *shed.Shedder
	owner    *executor
	control  *control
	beats    *reporter

	callers  *httpd.Server
	health   *httpd.Server
	operator *httpd.Server
	inFlight atomic.Int64
}

// New returns a router with checked settings; it does nothing until Run.
func New(s Settings, source Source, heads Heads, log *logrus.Logger) *Router {
	r := &Router{
		settings: s,
		log:      log,
		metrics:  telemetry.NewMetrics(s.Host, s.Zone),
		heads:    heads,
		splitter: split.NewRandom(),
		chooser:  choice.New(s.Zone, choice.Without(s.Without)),
		quota:    quota.New(),
		repeats:  repeats.New(s.Repeats),
		shedder:  shed.New(shed.Without(s.Without)),
	}
	r.counts = newCounts(r.metrics.Scope)
	r.view.Store(catalog.New().View(nil))
	r.owner = newExecutor(s, heads)
	r.peers = peer.New(s.Peers, peer.WithMaxFrame(bodyBound+frameSlack), peer.WithLogger(r.peerFault), peer.WithDialTimeout(peerDialTime),
		peer.WithProbes(peer.Probes{After: probeAfter, Limit: silentAfter}))
	r.control = newControl(r, source)
	r.beats = newReporter(r)
	peer.Handle(r.peers, peer.KindRun, r.takeRun)
	peer.Handle(r.peers, peer.KindHeartbeat, r.beats.take)
	peer.Handle(r.peers, peer.KindChanges, r.control.takeFetch)
	r.callers = httpd.New(s.Callers, http.HandlerFunc(r.serve), httpd.WithBodyBound(bodyBound), httpd.WithMaxConns(r.maxConns()),
		httpd.WithHeldBytes(r.heldBytes()), httpd.WithRefuser(r.refuseFault), httpd.WithClosing(r.closing))
	r.health = httpd.New(s.Health, http.HandlerFunc(r.serveHealth), httpd.WithMaxConns(healthConns))
	if s.Metrics.IsValid() {
		r.operator = httpd.New(s.Metrics, r.operatorRoutes(), httpd.WithMaxConns(healthConns))
	}
	return r
}

const (
	// bodyBound is the largest body that is taken from a caller or an instance, as letter 1 has it.
	bodyBound = 64 << 20
	// frameSlack is room for a request's head beside its body.
	frameSlack = 1 << 20
	// peerDialTime bounds opening a connection to another daemon: some round trips between zones, and one lost packet.
	peerDialTime = 400 * time.Millisecond
	// A sign of life of another daemon takes a few milliseconds, and some hundred where its processor is short or a packet was lost.
	// A lookup that is sent again after silentAfter still comes within the time that callers find good.
	probeAfter  = 200 * time.Millisecond
	silentAfter = 700 * time.Millisecond
	// healthConns bounds connections on the ports for health and metrics, which few programs ask.
	healthConns = 64
	// callersPart is the part of the descriptors that callers' connections may take; the rest is for the instance and peers.
	callersPart = 2
	// heldPart is the part of the memory that bodies may take while they arrive or wait.
	heldPart = 4
	// defaultConns and defaultHeld hold where the settings name no limits.
	defaultConns = 4096
	defaultHeld  = 64 << 20
)

func (r *Router) maxConns() int {
	if r.settings.Descriptors == 0 {
		return defaultConns
	}
	return max(r.settings.Descriptors/callersPart, 1)
}

func (r *Router) heldBytes() int {
	if r.settings.MemoryBytes == 0 {
		return defaultHeld
	}
	return int(r.settings.MemoryBytes / heldPart)
}

// Run serves until ctx ends, then leaves; the error tells which listener failed to start.
func (r *Router) Run(ctx context.Context) error {
	if err := r.start(); err != nil {
		return err
	}
	r.log.WithFields(logrus.Fields{
		"callers": r.settings.Callers.String(), "peers": r.settings.Peers.String(), "service": r.settings.Service,
		"instance": r.settings.Instance.String(), "zone": r.settings.Zone, "without": r.settings.Without.String(),
	}).Info("started")
	<-ctx.Done()
	r.stop()
	return nil
}

func (r *Router) start() error {
	starts := []func() error{r.peers.Start, r.health.Start, r.callers.Start}
	if r.operator != nil {
		starts = append(starts, r.operator.Start)
	}
	for _, start := range starts {
		if err := start(); err != nil {
			return errors.Wrap(err, "router")
		}
	}
	r.control.start()
	r.beats.start()
	return nil
}
