package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// News is a host's own word on whether it is leaving, passed on by others.
type News struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Host     string
	// Incarnation grows with each start of the host's daemon; the greatest one counts.
	Incarnation uint64
	Leaving     bool
}

const (
	// suspectAfter failures in a row make a suspect: one may be a lost packet or a full backlog.
	suspectAfter = 2
	// refusedFor is how long a host that refused work as leaving gets none, unless it speaks for itself before.
	refusedFor = 3 * time.Second
	// forgetAfter drops a host's word on leaving; the platform's list has caught up long before.
	forgetAfter = 10 * time.Minute
	// newsTellings is how often one item is told. Each daemon that hears it
	// tells it as often again, which reaches 3,400 hosts many times over.
	newsTellings = 24
	// newsPerDigest bounds a digest when a whole availability zone leaves at once.
	newsPerDigest = 8
	// probeEvery is the time between two attempts to reach a suspect.
	probeEvery = 2 * time.Second
)

type sighting struct {
	incarnation uint64
	leaving     bool
	told        int
	toldAt      time.Time
	failures    int
	suspected   time.Time
	refused     time.Time
	probed      time.Time
}

// Table is what one daemon knows of the others beyond the platform's list; it belongs to the control thread.
type Table struct {
	listed map[string]lists.Host
	byPeer map[netip.AddrPort]string
	seen   map[string]*sighting
	// failing are the hosts with failures, which are looked at several times a second.
	failing map[string]bool
	fresh   []string
	pace    probePace
}

// New returns a table that knows nobody.
func New() *Table {
	return &Table{listed: map[string]lists.Host{}, seen: map[string]*sighting{}, failing: map[string]bool{}}
}

// SetHosts takes over the platform's list and forgets hosts that are not on it any more.
func (t *Table) SetHosts(hosts []lists.Host) {
	t.listed = make(map[string]lists.Host, len(hosts))
	t.byPeer = make(map[netip.AddrPort]string, len(hosts))
	for _, h := range hosts {
		t.byPeer[h.Peer] = h.Host
		t.listed[h.Host] = h
	}
	for host := range t.seen {
		if _, ok := t.listed[host]; !ok {
			delete(t.seen, host)
			delete(t.failing, host)
		}
	}
}

// At returns the name of the listed host with the given address, or nothing.
func (t *Table) At(peer netip.AddrPort) string { return t.byPeer[peer] }

func (t *Table) sighting(host string) *sighting {
	s := t.seen[host]
	if s == nil {
		s = &sighting{}
		t.seen[host] = s
	}
	return s
}

// Hear takes a host's word, from itself or passed on, and reports whether it was new.
func (t *Table) Hear(n News, now time.Time) bool {
	s := t.sighting(n.Host)
	newer := n.Incarnation > s.incarnation || (n.Incarnation == s.incarnation && n.Leaving && !s.leaving)
	if !newer {
		return false
	}
	changed := n.Leaving != s.leaving
	s.incarnation, s.leaving = n.Incarnation, n.Leaving
	if !changed {
		return false
	}
	s.told, s.toldAt, s.refused = 0, now, time.Time{}
	t.fresh = append(slices.DeleteFunc(t.fresh, func(h string) bool { return h == n.Host }), n.Host)
	return true
}

// Tell returns the freshest news for a digest and counts the telling.
func (t *Table) Tell() []News {
	var out []News
	for i := len(t.fresh) - 1; i >= 0 && len(out) < newsPerDigest; i-- {
		host := t.fresh[i]
		s := t.seen[host]
		if s == nil || s.told >= newsTellings {
			t.fresh = slices.Delete(t.fresh, i, i+1)
			continue
		}
		s.told++
		out = append(out, News{Host: host, Incarnation: s.incarnation, Leaving: s.leaving})
	}
	return out
}

// Reached notes that the host answered.
func (t *Table) Reached(host string) bool {
	s := t.seen[host]
	if s == nil || s.failures == 0 {
		return false
	}
	cleared := s.failures >= suspectAfter
	s.failures = 0
	delete(t.failing, host)
	if cleared {
		t.pace.hasten()
	}
	return cleared
}

// Failed notes that the host could not be reached and reports whether that makes it a suspect.
func (t *Table) Failed(host string, now time.Time) bool {
	if _, ok := t.listed[host]; !ok {
		return false
	}
	s := t.sighting(host)
	s.failures++
	t.failing[host] = true
	s.probed = now
	if s.failures != suspectAfter {
		return false
	}
	s.suspected = now
	return true
}

// Refused notes that the host refused work because it is leaving.
func (t *Table) Refused(host string, now time.Time) {
	t.sighting(host).refused = now.Add(refusedFor)
}

// Suspect reports whether the host could not be reached lately.
func (t *Table) Suspect(host string) bool {
	s := t.seen[host]
	return s != nil && s.failures >= suspectAfter
}

// Doubtful returns the listed hosts with failures that are due for another attempt, as many as the pace allows: first those
// that are no suspects yet, then those that were tried longest ago.
//
// Without these attempts a host that was cut off for a while would stay a
// suspect for good where no call goes to it and it has no reason to call.
func (t *Table) Doubtful(now time.Time) []lists.Host {
	if len(t.failing) == 0 {
		return nil
	}
	var due []string
	for host := range t.failing {
		if s := t.seen[host]; now.Sub(s.probed) >= probeEvery {
			due = append(due, host)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.doubt(a), t.doubt(b)), t.seen[a].probed.Compare(t.seen[b].probed), cmp.Compare(a, b))
	})
	due = due[:t.pace.take(len(due), now)]
	out := make([]lists.Host, 0, len(due))
	for _, host := range due {
		t.seen[host].probed = now
		out = append(out, t.listed[host])
	}
	return out
}

// doubt is how many failures in a row speak against a host, as far as they matter.
func (t *Table) doubt(host string) int { return min(t.seen[host].failures, suspectAfter) }

// View returns an immutable view for the traffic threads.
func (t *Table) View(now time.Time) *View {
	v := &View{leaving: map[string]bool{}, suspect: map[string]time.Time{}}
	for host, s := range t.seen {
		if s.leaving && now.Sub(s.toldAt) > forgetAfter {
			s.leaving = false
		}
		if s.leaving || now.Before(s.refused) {
			v.leaving[host] = true
		}
		if s.failures >= suspectAfter {
			v.suspect[host] = s.suspected
		}
	}
	return v
}
