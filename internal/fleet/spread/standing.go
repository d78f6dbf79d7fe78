package spread

import (
	"maps"
	"time"
)

//go:generate stringer -type=Standing -linecomment

// Standing says whether a daemon has reason to believe that its lists are current.
type Standing uint8

const (
	// Starting means that the daemon has started without lists and they are not confirmed yet.
	Starting Standing = iota // starting
	// Serving means that the daemon's lists were confirmed and it takes callers.
	Serving // serving
	// Waking means that the process was paused and its lists are not confirmed since.
	Waking // waking
	// Isolated means that neither a peer nor the platform has answered for a long time.
	Isolated // isolated
)

const (
	// pauseThreshold is the pause of the process after which its lists count as out of date. It is in
	// seconds because a withdrawn key must stop working within seconds.
	pauseThreshold = 2 * time.Second
	// confirmGrace is how long a daemon asks before it accepts fewer replies than minReplies or minReadyReplies.
	confirmGrace = 2 * time.Second
	// replyTTL is how long a reply counts. A change is to be in force everywhere within this time, so an older reply is
	// no evidence that a key was not withdrawn meanwhile.
	replyTTL = 3 * time.Second
	// minReplies is the number of peers whose replies are enough, together with the platform, for a daemon that starts. One
	// peer alone may itself have been partitioned; three from different availability zones seldom are at the same time.
	minReplies = 3
	// minReadyReplies is the number of peers that take callers whose replies are enough: their versions were confirmed already.
	minReadyReplies = 2
)

// Takes reports whether a daemon whose last Tick was at the given time takes callers now.
//
// After a pause of the process, request goroutines may run before the control
// goroutine has noticed the pause; they detect it by the age of the last Tick.
func (s Standing) Takes(lastTick, now time.Time) bool {
	return s == Serving && now.Sub(lastTick) < pauseThreshold
}

// replies are what a daemon received from peers and from the platform since it began to confirm its lists.
type replies struct {
	since time.Time
	// platform means that the platform answered with all lists.
	platform bool
	// peers has the last reply of each peer.
	peers map[string]reply
}

// reply is what confirms the lists in a peer's reply to a digest that was sent at the given time.
type reply struct {
	sent time.Time
	// ready means that the peer takes callers.
	ready bool
}

// expire removes replies that are too old to confirm anything.
func (r *replies) expire(now time.Time) {
	maps.DeleteFunc(r.peers, func(_ string, p reply) bool { return now.Sub(p.sent) > replyTTL })
}

func (r *replies) readyPeers() int {
	count := 0
	for _, p := range r.peers {
		if p.ready {
			count++
		}
	}
	return count
}

// updateStanding changes the standing according to the replies received and the time since the last one.
func (c *Core) updateStanding(now time.Time) {
	if c.standing == Serving {
		if c.isolated(now) {
			c.startConfirming(Isolated, now)
		}
		return
	}
	c.replies.expire(now)
	if c.holdsNewest() && c.confirmed(now) {
		c.standing = Serving
		c.lastContact = now
	}
}

// isolated reports whether neither a peer nor the platform has answered for the isolation time.
//
// A daemon without peers is never isolated: it keeps serving through an outage
// of the platform, since no other daemon could have a newer version.
func (c *Core) isolated(now time.Time) bool {
	return c.config.IsolationTime > 0 && len(c.activePeers) > 0 && now.Sub(c.lastContact) > c.config.IsolationTime
}

// holdsNewest reports whether a value of every list is in force and no newer one was reported.
func (c *Core) holdsNewest() bool {
	for k, version := range c.versions {
		if version == 0 || c.reported[k] > version {
			return false
		}
	}
	return true
}

// confirmed reports whether the replies are enough to serve with the lists in force.
func (c *Core) confirmed(now time.Time) bool {
	peers := len(c.activePeers)
	waited := now.Sub(c.replies.since) >= confirmGrace
	replied, ready := len(c.replies.peers), c.replies.readyPeers()
	switch {
	case peers == 0:
		return c.replies.platform || (waited && c.standing != Starting)
	case ready >= min(minReadyReplies, peers), ready > 0 && (waited || c.replies.platform):
		return true
	// Peers that take no callers also confirm the lists, since the daemons of a fleet that starts or resumes as a whole would otherwise
	// wait for each other.
	case c.standing != Starting:
		// All must reply, or the grace must pass: hosts that were paused or partitioned together have the same old lists.
		return c.allReplied() || (replied > 0 && waited)
	case c.replies.platform:
		return replied >= min(minReplies, peers) || (replied > 0 && waited)
	default:
		return false
	}
}

// allReplied reports whether every active peer has replied.
func (c *Core) allReplied() bool {
	if len(c.replies.peers) < len(c.activePeers) {
		return false
	}
	for _, i := range c.activePeers {
		if _, ok := c.replies.peers[c.hosts[i].Host]; !ok {
			return false
		}
	}
	return true
}

// startConfirming changes the standing and discards earlier replies, so that only new ones confirm the lists.
func (c *Core) startConfirming(s Standing, now time.Time) {
	c.standing = s
	c.replies = replies{since: now, peers: map[string]reply{}}
	c.nextExchange = now
}

// standingAfterPause returns the standing of a daemon whose process was paused. One that was still starting has never had
// confirmed lists, so that it needs the stricter confirmation of a start.
func standingAfterPause(s Standing) Standing {
	if s == Starting {
		return Starting
	}
	return Waking
}
