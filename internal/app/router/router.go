package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/crash"
	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shares"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/decide/shutdown"
	"github.com/foxtailhook/foxtailhook/internal/decide/split"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// Router is the daemon that runs next to one instance.
type Router struct {
	settings  Settings
	log       *logrus.Logger
	metrics   *telemetry.Metrics
	responses *responseMetrics
	heads     Heads

	view atomic.Pointer[catalog.View]
	// samplers are those of the large services.
	samplers atomic.Pointer[map[string]*choice.Sampler]
	// shutdown is set by the order to shut down. closedToPeers is set a while later; from then on the daemon reports that it is leaving and
	// refuses other daemons' requests.
	shutdown      atomic.Pointer[shutdown.Schedule]
	closedToPeers atomic.Bool
	peers         *peer.Node

	splitter *split.Splitter
	balancer *choice.Balancer
	quota    *quota.Quota
	// ratesByShare means that the last decision on a rate had no current allocation.
	ratesByShare atomic.Bool
	retryBudget  *repeats.Budget
	shedder      *shed.Shedder
	usualShares  *shares.Fractions
	executor     *executor
	// crashes exchanges crashes with the other daemons of the service. unlisted has hosts that were listed until lately, which are told too.
	crashes  *crash.Spreader
	unlisted unlistedHosts
	// told has what other daemons say of their instances.
	told     *toldStatements
	control  *control
	reporter *reporter

	callers  *httpd.Server
	health   *httpd.Server
	operator *httpd.Server
	active   *activeRequests
	// account counts the memory that messages take.
	account *bounded.Account
	memory  *telemetry.Memory
	// senderBounds has the ends of daemons that hand requests to this one and are shutting down.
	senderBounds senderBounds
	usage        usage
}

// New returns a router with checked settings; it does nothing until Run.
func New(settings Settings, source Source, heads Heads, log *logrus.Logger) *Router {
	r := &Router{
		settings:    settings,
		log:         log,
		metrics:     telemetry.NewMetrics(settings.Host, settings.Zone),
		heads:       heads,
		splitter:    split.NewRandom(),
		balancer:    choice.New(settings.Zone, choice.Without(settings.Without)),
		quota:       quota.New(quota.Without(settings.Without)),
		retryBudget: repeats.New(settings.Repeats),
		told:        newToldStatements(),
		active:      newActiveRequests(),
		account:     bounded.NewAccount(settings.memoryLimits()),
		shedder:     shed.New(shed.Without(settings.Without)),
		usualShares: shares.NewFractions(),
	}
	r.responses = newResponseMetrics(r.metrics.Scope)
	r.memory = telemetry.NewMemory(r.account, r.metrics.Scope, log)
	r.view.Store(catalog.New().View(nil))
	r.samplers.Store(&map[string]*choice.Sampler{})
	r.executor = newExecutor(settings, heads, newWarmUp(settings, heads, log, r.metrics), r.account)
	r.peers = peer.New(settings.Peers, r.peerOptions()...)
	r.control = newControl(r, source)
	r.reporter = newReporter(r)
	peer.Handle(r.peers, peer.KindRun, r.handleRun)
	peer.Handle(r.peers, peer.KindHeartbeat, r.reporter.handle)
	peer.Handle(r.peers, peer.KindChanges, r.control.handleFetch)
	peer.Handle(r.peers, peer.KindFinishBound, r.handleFinishBound)
	peer.Handle(r.peers, peer.KindAnnouncement, r.control.handleAnnouncement)
	r.crashes = crash.NewSpreader(r.executor.quarantine, r.peers, r.crashReceivers, log, r.metrics)
	r.executor.spreadCrash, r.executor.onPublished = r.crashes.Spread, r.crashes.Ask
	r.callers = httpd.New(settings.Callers, http.HandlerFunc(r.serve), httpd.WithBodyBound(maxBodyBytes), httpd.WithMaxConns(r.maxConns()),
		httpd.WithAccount(r.account), httpd.WithRefuser(r.refuseFault), httpd.WithClosing(r.leaving))
	r.health = httpd.New(settings.Health, http.HandlerFunc(r.serveHealth), httpd.WithMaxConns(maxHealthConns))
	if settings.Metrics.IsValid() {
		r.operator = httpd.New(settings.Metrics, r.operatorRoutes(), httpd.WithMaxConns(maxHealthConns))
	}
	return r
}

func (r *Router) peerOptions() []peer.Option {
	options := []peer.Option{
		peer.WithMaxFrame(maxBodyBytes + maxHeaderBytes), peer.WithLogger(r.peerFault), peer.WithDialTimeout(peerDialTimeout),
		peer.WithProbes(peer.Probes{After: probeAfter, Limit: peerTimeout}), peer.WithPlaces(r.placeOf), peer.WithAccount(r.account),
	}
	if r.settings.Without.Has(mechanism.PositionalMessages) {
		options = append(options, peer.WithoutPositions())
	}
	return options
}

const (
	// maxBodyBytes is the required limit on the body of a caller's request or an instance's response.
	maxBodyBytes = 64 << 20
	// maxHeaderBytes is what a peer message may have beyond the body, for the request's header.
	maxHeaderBytes = 1 << 20
	// peerDialTimeout bounds opening a connection to another daemon: several round trips between availability zones, and one lost packet.
	peerDialTimeout = 400 * time.Millisecond
	// Another daemon answers a probe within a few milliseconds, or within several hundred if its CPU is overloaded or a packet was lost. A
	// read that is retried after peerTimeout still completes within the time that callers accept.
	probeAfter  = 200 * time.Millisecond
	peerTimeout = 700 * time.Millisecond
	// maxHealthConns bounds connections on the ports for health and metrics, which only a few programs use.
	maxHealthConns = 64
	// callersDescriptorDivisor divides the file descriptors: callers' connections may use half, the rest is for the instance and peers.
	callersDescriptorDivisor = 2
	// defaultConns and defaultMemoryBytes apply if the settings have no limits.
	defaultConns       = 4096
	defaultMemoryBytes = 512 << 20
)

func (r *Router) maxConns() int {
	if r.settings.Descriptors == 0 {
		return defaultConns
	}
	return max(r.settings.Descriptors/callersDescriptorDivisor, 1)
}

// Run serves until ctx ends, then shuts down; an error says which listener failed to start.
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
	r.reporter.start()
	r.executor.start()
	return nil
}
