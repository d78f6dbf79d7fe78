package member

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// View is an immutable account of the hosts that get no new work.
type View struct {
	leaving map[string]bool
	// suspect has the time since which each suspect is one.
	suspect map[string]time.Time
}

// Usable returns the hosts that may get new work.
//
// Made for a rack or switch that fails: its hosts are on the platform's list
// for a while longer, and each request placed there would cost the caller a
// connect timeout. A host that says it is leaving never gets work. Suspects are
// only passed over while another host is left, so that a fault of this daemon's
// own network can't empty a service.
func (v *View) Usable(hosts []lists.Host) []lists.Host {
	if v.Sound() {
		return hosts
	}
	var sound, suspects []lists.Host
	for _, h := range hosts {
		switch {
		case h.Leaving || v.leaving[h.Host]:
		case v.Suspect(h.Host):
			suspects = append(suspects, h)
		default:
			sound = append(sound, h)
		}
	}
	if len(sound) == 0 {
		return suspects
	}
	return sound
}

// Sound reports whether no host is in doubt.
func (v *View) Sound() bool { return len(v.leaving) == 0 && len(v.suspect) == 0 }

// Leaving reports whether the host said that it is leaving.
func (v *View) Leaving(host string) bool { return v.leaving[host] }

// Suspect reports whether the host could not be reached lately.
func (v *View) Suspect(host string) bool {
	_, ok := v.suspect[host]
	return ok
}

// Back returns when to come back for a host that can't be reached, and 0 for one that can.
//
// Made for regions that lose each other for an hour: callers that are told to come back each second would
// be refused thousands of times, and a host that has been away for minutes is seldom back within the next
// second. So they wait for as long as it has been away. The bounds: a suspect is tried every probeEvery,
// so nothing changes sooner; and after a heal nobody should wait for much longer than the heal takes.
func (v *View) Back(host string, now time.Time) time.Duration {
	since, ok := v.suspect[host]
	if !ok {
		return 0
	}
	return min(max(now.Sub(since), probeEvery), mostBack)
}

// mostBack bounds how long a caller is told to wait for a host that can't be reached.
const mostBack = 10 * time.Second

// Counts returns the number of hosts that said they are leaving, and of suspects.
func (v *View) Counts() (leaving, suspects int) { return len(v.leaving), len(v.suspect) }
