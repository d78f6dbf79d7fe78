package member

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// View is an immutable view of the hosts that get no new work.
type View struct {
	leaving map[string]bool
	// suspect has the suspects, with the time at which each became one.
	suspect map[string]time.Time
}

// Usable returns the hosts that may get new work.
//
// Designed for a rack or switch that fails: its hosts stay on the configuration service's
// host list for a while, and each request sent to one would cost the caller a connect timeout.
// A host that reports that it is leaving never gets work. Suspects are left out only while
// another host remains, so that a fault of this daemon's own network can't leave a service
// without hosts.
func (v *View) Usable(hosts []lists.Host) []lists.Host {
	if v.Empty() {
		return hosts
	}
	var usable, suspects []lists.Host
	for _, h := range hosts {
		switch {
		case h.Leaving || v.leaving[h.Host]:
		case v.Suspect(h.Host):
			suspects = append(suspects, h)
		default:
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 {
		return suspects
	}
	return usable
}

// Empty reports whether no host is leaving or a suspect.
func (v *View) Empty() bool { return len(v.leaving) == 0 && len(v.suspect) == 0 }

// Leaving reports whether the host reported that it is leaving, or refused work because it is.
func (v *View) Leaving(host string) bool { return v.leaving[host] }

// Suspect reports whether the last attempts to reach the host failed.
func (v *View) Suspect(host string) bool {
	_, ok := v.suspect[host]
	return ok
}

// RetryDelay returns the Retry-After delay of a request for a host that can't be reached, and 0 for one that can.
//
// Designed for regions that are partitioned for an hour: callers that retry each second would be refused
// thousands of times, and a host that has been unreachable for minutes is seldom reachable within the next
// second. So the delay is the time for which it has been unreachable, within two bounds: a suspect is
// probed every probeInterval, so nothing changes sooner, and after the partition no caller should wait for
// much longer than the recovery takes.
func (v *View) RetryDelay(host string, now time.Time) time.Duration {
	since, ok := v.suspect[host]
	if !ok {
		return 0
	}
	return min(max(now.Sub(since), probeInterval), maxRetryDelay)
}

// maxRetryDelay bounds the Retry-After delay of a request for a host that can't be reached.
const maxRetryDelay = 10 * time.Second

// Counts returns the numbers of leaving hosts and of suspects.
func (v *View) Counts() (leaving, suspects int) { return len(v.leaving), len(v.suspect) }
