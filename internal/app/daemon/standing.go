package daemon

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/fleet/spread"
)

// standing is the control thread's last word on whether the lists are current.
type standing struct {
	spread.Standing
	looked time.Time
}

// takes reports whether callers' requests are taken at this moment.
func (d *Daemon) takes(now time.Time) bool {
	s := d.standing.Load()
	return s.Takes(s.looked, now) && d.view.Load().Complete()
}

// show publishes the standing, and from time to time which hosts get no new work.
func (c *control) show(now time.Time) {
	next, looked := c.core.Standing()
	if before := c.daemon.standing.Load(); before != nil && before.Standing != next {
		c.daemon.log.WithField("standing", next.String()).WithField("before", before.String()).Info("standing")
	}
	c.daemon.standing.Store(&standing{Standing: next, looked: looked})
	if now.Sub(c.viewed) >= viewEvery {
		c.showMembers(now)
	}
}

// viewEvery is how often the view of members is renewed without news; it holds times that run out.
const viewEvery = time.Second

func (c *control) showMembers(now time.Time) {
	c.viewed = now
	c.daemon.members.Store(c.members.View(now))
}
