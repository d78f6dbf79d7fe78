package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/settings"
	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/decide/placing"
	"github.com/foxtailhook/foxtailhook/internal/decide/pressure"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
	"github.com/foxtailhook/foxtailhook/internal/wire/httpd"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
	"github.com/foxtailhook/foxtailhook/internal/wire/platform"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// Daemon is one process of the system.
type Daemon struct {
	settings settings.Settings
	log      *logrus.Logger
	metrics  *telemetry.Metrics
	answers  *answerCounts

	view     atomic.Pointer[lists.View]
	standing atomic.Pointer[standing]
	members  atomic.Pointer[member.View]
	hosts    usableHosts
	leaving  atomic.Bool
	serving  atomic.Bool
	inFlight *inFlight

	control  *control
	rates    *rates
	placer   *placing.Placer
	needs    *budget.Needs
	doors    *pressure.Throttles
	owner    *owner
	peers    *peer.Node
	repeats  *repeats
	callers  *httpd.Server
	operator *httpd.Server
}

// New returns a daemon with checked settings; it does nothing until Run.
func New(s settings.Settings, log *logrus.Logger) *Daemon {
	d := &Daemon{
		settings: s,
		inFlight: newInFlight(),
		log:      log,
		metrics:  telemetry.NewMetrics(s.Host, s.Zone),
		placer:   placing.New(s.Zone, placing.WithRegion(s.Region), placing.WithKind(s.Placing)),
		needs:    budget.NewNeeds(),
		doors:    pressure.New(),
	}
	d.answers = newAnswerCounts(d.metrics.Scope)
	d.view.Store(lists.NewSet().View())
	d.owner = newOwner(s, upstream.New(s.Upstream, upstream.WithMaxResponse(int64(s.BodyBound)), upstream.WithNonIdempotentMaxIdle(s.OnceIdle)))
	d.rates = newRates(d)
	d.control = newControl(d, platform.New(s.Platform, s.Peers.Addr()))
	d.peers = peer.New(s.Peers, peer.WithMaxFrame(s.BodyBound+frameSlack), peer.WithLogger(d.peerFault), peer.WithSecrets(s.Secrets...))
	peer.Handle(d.peers, peer.KindCall, d.takeHandoff)
	d.rates.handle(d.peers)
	peer.Handle(d.peers, peer.KindDigest, d.takeDigest)
	peer.Handle(d.peers, peer.KindFetch, d.takeFetch)
	d.repeats = newRepeats(d)
	d.callers = httpd.New(s.Callers, http.HandlerFunc(d.serveCaller), httpd.WithBodyBound(s.BodyBound), httpd.WithMaxConns(s.MaxConns),
		httpd.WithHeldBytes(s.HeldBytes), httpd.WithHead(s.HeaderBound, s.HeaderTime), httpd.WithRefuser(refuseFault), httpd.WithClosing(d.leaving.Load))
	d.operator = httpd.New(s.Operators, d.operatorRoutes())
	return d
}

// frameSlack is room for a request's head beside its body.
const frameSlack = 1 << 20

// Run serves until ctx ends, then leaves without cutting a request; the error tells which listener failed to start.
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
	if err := startAll(d.peers.Start, d.operator.Start); err != nil {
		return err
	}
	d.control.start()
	d.rates.start()
	d.control.done.Go(d.observe)
	d.awaitLists(ctx)
	if err := startAll(d.callers.Start); err != nil {
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
	listsWait = 3 * time.Second
	listsLook = 10 * time.Millisecond
)

// awaitLists keeps the callers' port closed until the lists and the rates are there, so that a
// restart refuses nobody: a caller that can't connect goes to another host. When
// they don't come, callers are better told so than left without an answer.
func (d *Daemon) awaitLists(ctx context.Context) {
	limit := time.Now().Add(listsWait)
	for !(d.takes(time.Now()) && d.rates.ready.Load()) && ctx.Err() == nil && time.Now().Before(limit) {
		time.Sleep(listsLook)
	}
}
