package daemon

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// doubt is what a traffic thread saw of a host that it handed a request to.
type doubt struct {
	host    string
	leaving bool
}

// doubtsWaiting bounds what traffic has to tell; under a flood of failures a part of them tells as much.
const doubtsWaiting = 64

// judge lets the control thread know of an answer that speaks against a host.
func (d *Daemon) judge(host string, a call.Answer) {
	if host == d.settings.Host {
		return
	}
	switch a.Reason {
	case call.Draining, call.NoUpstream, call.AnswerLost:
		d.raise(doubt{host: host, leaving: a.Reason == call.Draining})
	}
}

// raise hands a doubt to the control thread, if that has room for it.
func (d *Daemon) raise(it doubt) {
	select {
	case d.control.doubts <- it:
	default:
	}
}

// doubt checks a host that a request failed on. A slow upstream loses answers
// as well as a dead host does, so it is only the failed digest that counts.
func (c *control) doubt(d doubt) {
	now := time.Now()
	if d.leaving {
		c.members.Refused(d.host, now)
		c.showMembers(now)
		return
	}
	if h, ok := c.set.View().Host(d.host); ok {
		c.exchange(h.Peer, now)
	}
}

// failed notes that no digest came back from a host.
func (c *control) failed(host string, now time.Time) {
	if host != "" && c.members.Failed(host, now) {
		c.daemon.log.WithField("host", host).Warn("suspect")
		c.showMembers(now)
	}
}

// reached notes that a host spoke.
func (c *control) reached(host string, now time.Time) {
	if c.members.Reached(host) {
		c.daemon.log.WithField("host", host).Info("reached again")
		c.showMembers(now)
	}
}
