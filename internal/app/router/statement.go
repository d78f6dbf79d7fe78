package router

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// statements keeps what the instance on this host states about itself in its responses. All requests to the instance pass this daemon, so a
// rate limit that is kept here holds for the requests of all daemons together.
type statements struct {
	heads   Heads
	log     *logrus.Logger
	metrics *telemetry.Metrics
	pacer   *admission.Pacer

	mu sync.Mutex
	// of is the incarnation that made the statements, limit its rate limit.
	of    routing.Incarnation
	limit RateLimit
	// limitLoggedAt is when a change of the limit was last logged.
	limitLoggedAt time.Time
	// heard means that this process has received a response of the incarnation that is its own or states a limit.
	heard bool
	// leavingSince is when the incarnation first said that it is about to end; zero if it hasn't.
	leavingSince time.Time
	// slowness is what the incarnation last stated, at slownessAt; 0 if it states none.
	slowness   float64
	slownessAt time.Time
	// loadFaults counts the faults in stated loads that were logged.
	loadFaults int
	// logged has the headers that were logged as unread, and the faults.
	logged []string
	// observed counts the responses.
	observed int
}

const (
	// maxLoggedHeaders bounds the headers and faults that are logged, each once.
	maxLoggedHeaders = 64
	// limitLogInterval is the minimum time between two log lines on a limit that rises and falls with each response.
	limitLogInterval = time.Second
	// unreadInterval is the number of responses for each one that is searched for unread headers, which takes longer than the rest.
	unreadInterval = 16
	// maxLoadFaults bounds the faults in stated loads that are logged: an instance may state another one in each response.
	maxLoadFaults = 8
	// slownessTTL is how long a slowness is passed on after its statement. By then even the highest one has decayed to nearly 1.
	slownessTTL = 3 * time.Second
	// maxRedirectAge is the maximum age of a slowness for which requests are redirected: it changes several times a second.
	maxRedirectAge = 250 * time.Millisecond
)

// observe records the header of a response of the incarnation to the request. It is called when the header arrives, not at the end of the
// body: a long response must not bring back what the instance stated at its beginning. It reports whether the instance says for the first time that
// it is about to end.
func (s *statements) observe(of routing.Incarnation, requestID string, status int, header http.Header) bool {
	if status == http.StatusMisdirectedRequest {
		// Another instance has responded.
		return false
	}
	head := s.heads.Answer(status, header)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logUnread(of, header)
	s.follow(of)
	s.heard = s.heard || head.Authentic || head.RateLimit.Stated
	fields := logrus.Fields{"instance": of.ID, "requestId": requestID, "status": status}
	s.readLimit(head, fields)
	s.readLoad(head.Load, fields)
	if !head.Leaving || !s.leavingSince.IsZero() {
		return false
	}
	s.leavingSince = time.Now()
	s.log.WithFields(fields).Info("instance leaving")
	return true
}

// adopt takes over the limit that another daemon was told, as long as this one hasn't received a response itself: it may have restarted since.
// The other daemon's list may be old, so another incarnation that is known here isn't dropped.
func (s *statements) adopt(of routing.Incarnation, requestID string, told RateLimit) {
	if !told.Stated {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.of != (routing.Incarnation{}); s.heard || known && s.of != of {
		return
	}
	s.follow(of)
	s.setLimit(told, logrus.Fields{"instance": of.ID, "requestId": requestID, "told": true})
}

// replaced drops the statements of an incarnation that another one has replaced.
func (s *statements) replaced(by routing.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow(by)
}

// rateLimit returns the limit that the incarnation states.
func (s *statements) rateLimit(of routing.Incarnation) RateLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.of != of {
		return RateLimit{}
	}
	return s.limit
}

// leavingFor returns how long ago the incarnation first said that it is about to end, and false if it hasn't.
func (s *statements) leavingFor(of routing.Incarnation, now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.of != of || s.leavingSince.IsZero() {
		return 0, false
	}
	return now.Sub(s.leavingSince), true
}

// slownessOf returns how slow the incarnation is now, 0 if it doesn't say.
func (s *statements) slownessOf(of routing.Incarnation, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.slownessAt)
	if s.of != of || s.slowness == 0 || age > slownessTTL {
		return 0
	}
	return choice.Slowness(s.slowness, age)
}

// slow reports whether the incarnation has just stated that it is slow.
func (s *statements) slow(of routing.Incarnation, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.of == of && s.slowness > choice.SlowThreshold && now.Sub(s.slownessAt) <= maxRedirectAge
}

// follow drops the statements of any other incarnation.
func (s *statements) follow(of routing.Incarnation) {
	if s.of == of {
		return
	}
	s.of, s.heard, s.leavingSince, s.slowness = of, false, time.Time{}, 0
	s.setLimit(RateLimit{}, logrus.Fields{"instance": of.ID, "replaced": true})
}

// readLimit takes over the limit that a response states. A limit ends with a response that is the instance's own and states none.
func (s *statements) readLimit(head InstanceHead, fields logrus.Fields) {
	next := head.RateLimit
	if next.Fault != "" && s.firstTime("limit: "+next.Fault) {
		s.log.WithFields(fields).WithField("fault", next.Fault).Warn("instance limit not read")
	}
	if next.Stated || next.Fault == "" && head.Authentic {
		s.setLimit(RateLimit{Stated: next.Stated, PerSecond: next.PerSecond}, fields)
	}
}

// readLoad takes over the slowness that a response states. One without it ends none, since not all responses of an instance have it.
func (s *statements) readLoad(load InstanceLoad, fields logrus.Fields) {
	if load.Fault != "" {
		s.metrics.Counter(telemetry.InstanceLoadFaults).Inc(1)
		if s.loadFaults < maxLoadFaults && s.firstTime("load: "+load.Fault) {
			s.loadFaults++
			s.log.WithFields(fields).WithField("fault", load.Fault).Warn("instance load not read")
		}
		return
	}
	if load.Stated && load.Slowness > 0 {
		s.slowness, s.slownessAt = load.Slowness, time.Now()
	}
}

func (s *statements) setLimit(next RateLimit, fields logrus.Fields) {
	if next == s.limit {
		return
	}
	now := time.Now()
	if next.Stated != s.limit.Stated || now.Sub(s.limitLoggedAt) >= limitLogInterval {
		s.limitLoggedAt = now
		s.log.WithFields(fields).WithFields(logrus.Fields{
			"limited": next.Stated, "perSecond": next.PerSecond, "wasLimited": s.limit.Stated, "wasPerSecond": s.limit.PerSecond,
		}).Info("instance limit")
	}
	s.limit = next
	s.metrics.Gauge(telemetry.InstanceLimit).Update(next.PerSecond)
	if next.Stated {
		s.pacer.Limit(next.PerSecond, now)
	} else {
		s.pacer.Unlimit()
	}
}

// logUnread logs each header that nobody reads once: an instance may state something by it that would have to be kept.
func (s *statements) logUnread(of routing.Incarnation, header http.Header) {
	s.observed++
	if s.observed%unreadInterval != 1 {
		return
	}
	for _, name := range s.heads.Unread(header) {
		if s.firstTime(name) {
			s.log.WithFields(logrus.Fields{"instance": of.ID, "header": name, "value": truncate(header.Get(name))}).Info("response header not read")
		}
	}
}

// firstTime reports whether the text is logged for the first time and may be.
func (s *statements) firstTime(text string) bool {
	if len(s.logged) >= maxLoggedHeaders || slices.Contains(s.logged, text) {
		return false
	}
	s.logged = append(s.logged, text)
	return true
}

// maxLoggedValue bounds a header's value in the log, in bytes.
const maxLoggedValue = 80

func truncate(value string) string { return value[:min(len(value), maxLoggedValue)] }
