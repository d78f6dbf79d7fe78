package router

import (
	"net/http"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// statements follows what the instance on this host states about itself in its responses.
type statements struct {
	heads   Heads
	log     *logrus.Logger
	metrics *telemetry.Metrics

	mu sync.Mutex
	// of is the incarnation that made the statements, limit its rate limit.
	of      routing.Incarnation
	limit   RateLimit
	leaving bool
	// logged has the headers that were logged as unread, and the faults.
	logged []string
}

// maxLoggedHeaders bounds the headers and faults that are logged, each once.
const maxLoggedHeaders = 64

// observe records the header of a response of the incarnation to the request.
func (s *statements) observe(of routing.Incarnation, requestID string, status int, header http.Header) {
	if status == http.StatusMisdirectedRequest {
		// Another instance has responded.
		return
	}
	head := s.heads.Answer(status, header)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logUnread(of, header)
	if s.of != of {
		s.of, s.limit, s.leaving = of, RateLimit{}, false
	}
	fields := logrus.Fields{"instance": of.ID, "requestId": requestID, "status": status}
	s.setLimit(head, fields)
	s.setLeaving(head, fields)
}

// setLimit takes over the limit that a response states. A limit ends with a response that is the instance's own and states none.
func (s *statements) setLimit(head InstanceHead, fields logrus.Fields) {
	next := head.RateLimit
	if next.Fault != "" && s.firstTime("limit: "+next.Fault) {
		s.log.WithFields(fields).WithField("fault", next.Fault).Warn("instance limit not read")
	}
	if !next.Stated && (next.Fault != "" || !head.Authentic) {
		return
	}
	if next.Stated == s.limit.Stated && next.PerSecond == s.limit.PerSecond {
		return
	}
	s.log.WithFields(fields).WithFields(logrus.Fields{
		"limited": next.Stated, "perSecond": next.PerSecond, "wasLimited": s.limit.Stated, "wasPerSecond": s.limit.PerSecond,
	}).Info("instance limit")
	s.limit = next
	s.metrics.Gauge(telemetry.InstanceLimit).Update(next.PerSecond)
}

func (s *statements) setLeaving(head InstanceHead, fields logrus.Fields) {
	if head.Leaving && !s.leaving {
		s.leaving = true
		s.log.WithFields(fields).Info("instance leaving")
	}
}

// logUnread logs each header that nobody reads once: an instance may state something by it that would have to be kept.
func (s *statements) logUnread(of routing.Incarnation, header http.Header) {
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
