package spread

import "time"

//go:generate stringer -type=Standing -linecomment

// Standing tells whether a daemon has reason to believe that its lists are current.
type Standing uint8

const (
	// Starting means that the daemon has no memory and is still asking.
	Starting Standing = iota // starting
	// Serving means that what the daemon holds was confirmed and it takes callers.
	Serving // serving
	// Waking means that the process was paused and has not asked anyone since.
	Waking // waking
	// Isolated means that neither a peer nor the platform has answered for a long time.
	Isolated // isolated
)

const (
	// wakeGap is the pause of the process after which what it holds counts as old. Seconds
	// are the time in which a withdrawn key must stop.
	wakeGap = 2 * time.Second
	// grace is how long a daemon asks before fewer answers than it would like will do.
	grace = 2 * time.Second
	// answersWanted is the number of peers whose agreement is enough without grace. One peer alone may itself
	// have been cut off; three from different availability zones seldom are at once.
	answersWanted = 3
	// readyWanted is the same for peers that take callers, whose versions were confirmed before.
	readyWanted = 2
)

// Takes reports whether a daemon that last looked at its standing at the given time takes callers now.
//
// Traffic threads of a process that was paused run again before the control
// thread has noticed the pause; by the age of the last look they see it themselves.
func (s Standing) Takes(looked, now time.Time) bool {
	return s == Serving && now.Sub(looked) < wakeGap
}

// answers is what came back since the daemon began to ask.
type answers struct {
	since    time.Time
	platform bool
	peers    map[string]bool
}

func (a *answers) ready() int {
	n := 0
	for _, ready := range a.peers {
		if ready {
			n++
		}
	}
	return n
}

// settle moves the core to the standing that the answers speak for.
func (c *Core) settle(now time.Time) {
	if c.standing == Serving {
		if c.cutOff(now) {
			c.ask(Isolated, now)
		}
		return
	}
	if c.holdsAll() && c.confirmed(now) {
		c.standing = Serving
		c.contact = now
	}
}

// cutOff reports whether neither a peer nor the platform has answered for the isolation time.
//
// A lone daemon has no peers to be cut off from. It goes on through an outage
// of the platform, since nobody else could know anything newer.
func (c *Core) cutOff(now time.Time) bool {
	return c.config.IsolationTime > 0 && len(c.others) > 0 && now.Sub(c.contact) > c.config.IsolationTime
}

// holdsAll reports whether a value of every list is in force and no newer one was heard of.
func (c *Core) holdsAll() bool {
	for k, version := range c.versions {
		if version == 0 || c.heard[k] > version {
			return false
		}
	}
	return true
}

func (c *Core) confirmed(now time.Time) bool {
	others := len(c.others)
	waited := now.Sub(c.answers.since) >= grace
	heard, ready := len(c.answers.peers), c.answers.ready()
	switch {
	case others == 0:
		return c.answers.platform || (waited && c.standing != Starting)
	case ready >= min(readyWanted, others), ready > 0 && (waited || c.answers.platform):
		return true
	case c.standing != Starting || c.answers.platform:
		// Peers that take no callers either will do for a daemon that has a memory, and
		// beside the platform: else a fleet that starts or wakes as a whole would wait for itself.
		return heard >= min(answersWanted, others) || (heard > 0 && waited)
	default:
		return false
	}
}

// ask begins to collect answers afresh; what came in before doesn't count.
func (c *Core) ask(s Standing, now time.Time) {
	c.standing = s
	c.answers = answers{since: now, peers: map[string]bool{}}
	c.next = now
}
