package router

import (
	"net/netip"
	"time"
)

// maxTickGap is the longest time between two ticks of a daemon that wasn't paused.
const maxTickGap = 5 * tickInterval

// crashReceivers returns the daemons beside the other instances to which content of the routes may be sent, without those that are leaving or silent.
func (r *Router) crashReceivers(routes []string) []netip.AddrPort {
	view := r.view.Load()
	services := map[string]bool{r.settings.Service: true}
	for _, route := range routes {
		if view.Table == nil {
			break
		}
		for service := range view.Table.Shares(route) {
			services[service] = true
		}
	}
	known := map[netip.Addr]bool{r.settings.Peers.Addr(): true}
	var receivers []netip.AddrPort
	for service := range services {
		for _, inst := range view.InstancesOf(service) {
			host := inst.Address.Addr()
			if !known[host] && !r.reporter.unavailable(host) {
				receivers = append(receivers, r.peerOf(host))
			}
			known[host] = true
		}
	}
	return receivers
}

// noticePause tells if the time between two ticks says that the daemon was paused.
func (c *control) noticePause(now time.Time) {
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > maxTickGap {
		c.router.crashes.Resumed()
	}
	c.lastTick = now
}

// followCrashes keeps up with the crashes that other daemons of the service know of.
func (c *control) followCrashes() {
	c.router.crashes.Run(c.ctx, func() bool { return c.router.view.Load().Complete() })
}
