package daemon

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// hostFailure is what a traffic thread saw of a host that it handed a request to.
type hostFailure struct {
	host    string
	leaving bool
}

// maxPendingFailures bounds what traffic has to tell; under a flood of failures a part of them tells as much.
const maxPendingFailures = 64

// checkAnswer lets the control thread know of an answer that speaks against a host.
func (d *Daemon) checkAnswer(host string, a call.Answer) {
	if host == d.settings.Host {
		return
	}
	switch a.Reason {
	case call.Draining, call.NoUpstream, call.AnswerLost:
		d.reportFailure(hostFailure{host: host, leaving: a.Reason == call.Draining})
	}
}

// reportFailure hands a doubt to the control thread, if that has room for it.
func (d *Daemon) reportFailure(failure hostFailure) {
	select {
	case d.control.failures <- failure:
	default:
	}
}

// handleFailure checks a host that a request failed on. A slow upstream loses answers
// as well as a dead host does, so it is only the failed digest that counts.
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

// recordFailure notes that no digest came back from a host.
func (c *control) recordFailure(host string, now time.Time) {
	if host != "" && c.members.Failed(host, now) {
		c.daemon.log.WithField("host", host).Warn("suspect")
		c.publishMembers(now)
	}
}

// recordContact notes that a host spoke.
func (c *control) recordContact(host string, now time.Time) {
	if c.members.Reached(host) {
		c.daemon.log.WithField("host", host).Info("reached again")
		c.publishMembers(now)
	}
}
