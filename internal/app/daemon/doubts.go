package daemon

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// hostFailure reports a request that failed on another host.
type hostFailure struct {
	host    string
	leaving bool
}

// maxPendingFailures bounds the reports waiting for the control goroutine. During a flood of failures the rest is
// dropped: those that fit name the same hosts.
const maxPendingFailures = 64

// checkAnswer reports a response that suggests that the host is leaving or unreachable.
func (d *Daemon) checkAnswer(host string, a call.Answer) {
	if host == d.settings.Host {
		return
	}
	switch a.Reason {
	case call.Draining, call.NoUpstream, call.AnswerLost:
		d.reportFailure(hostFailure{host: host, leaving: a.Reason == call.Draining})
	}
}

// reportFailure queues a report for the control goroutine and drops it if the queue is full.
func (d *Daemon) reportFailure(failure hostFailure) {
	select {
	case d.control.failures <- failure:
	default:
	}
}

// handleFailure checks a host on which a request failed. A slow upstream loses responses just as a dead host does, so the
// host is suspected only if a digest exchange with its daemon fails as well.
func (c *control) handleFailure(failure hostFailure) {
	now := time.Now()
	if failure.leaving {
		c.members.Refused(failure.host, now)
		c.publishMembers(now)
		return
	}
	if h, ok := c.set.View().Host(failure.host); ok {
		c.exchange(h.Peer, now)
	}
}

// recordFailure records that a digest exchange with a host failed.
func (c *control) recordFailure(host string, now time.Time) {
	if host != "" && c.members.Failed(host, now) {
		c.daemon.log.WithField("host", host).Warn("suspect")
		c.publishMembers(now)
	}
}

// recordContact records that a host was reached.
func (c *control) recordContact(host string, now time.Time) {
	if c.members.Reached(host) {
		c.daemon.log.WithField("host", host).Info("reached again")
		c.publishMembers(now)
	}
}
