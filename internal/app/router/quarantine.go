package router

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/app/crash"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
)

// unlistedTTL is how long a host that is no longer listed is told of crashes. Its instance may have crashed itself, and its daemon gets requests again
// with the next instance.
const unlistedTTL = time.Minute

// unlistedHosts has the hosts that were listed until lately, with their service.
type unlistedHosts struct {
	mu     sync.Mutex
	byHost map[netip.Addr]unlistedHost
}

type unlistedHost struct {
	service string
	since   time.Time
}

// update records which hosts a new view no longer lists.
func (u *unlistedHosts) update(before, after *catalog.View, now time.Time) {
	if after.SameHosts(before) {
		return
	}
	listed := make(map[netip.Addr]bool, len(after.Hosts()))
	for _, host := range after.Hosts() {
		listed[host] = true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byHost == nil {
		u.byHost = map[netip.Addr]unlistedHost{}
	}
	maps.DeleteFunc(u.byHost, func(host netip.Addr, h unlistedHost) bool { return listed[host] || now.Sub(h.since) > unlistedTTL })
	for _, inst := range before.Instances() {
		if host := inst.Address.Addr(); !listed[host] {
			u.byHost[host] = unlistedHost{inst.Service, now}
		}
	}
}

// of returns the hosts that had an instance of one of the services.
func (u *unlistedHosts) of(services map[string]bool) []netip.Addr {
	u.mu.Lock()
	defer u.mu.Unlock()
	var hosts []netip.Addr
	for host, h := range u.byHost {
		if services[h.service] {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// maxTickGap is the longest time between two ticks of a daemon that wasn't paused.
const maxTickGap = 5 * tickInterval

// crashReceivers returns the daemons beside the other instances to which content of the routes may be sent, without those that are leaving or silent.
func (r *Router) crashReceivers(routes []string) crash.Receivers {
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
	receivers := crash.Receivers{}
	for service := range services {
		for _, inst := range view.InstancesOf(service) {
			host := inst.Address.Addr()
			if !known[host] && !r.reporter.unavailable(host) {
				receivers.Listed = append(receivers.Listed, r.peerOf(host))
			}
			known[host] = true
		}
	}
	for _, host := range r.unlisted.of(services) {
		if !known[host] {
			receivers.Unlisted = append(receivers.Unlisted, r.peerOf(host))
		}
	}
	return receivers
}

// noticePause tells if the time between two ticks says that the daemon was paused.
func (c *control) noticePause(now time.Time) {
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > maxTickGap {
		c.router.crashes.Ask()
	}
	c.lastTick = now
}

// followCrashes asks other daemons of the service for their crashes until the daemon stops.
func (c *control) followCrashes() {
	c.router.crashes.Run(c.ctx, func() bool { return c.router.view.Load().Complete() })
}
