package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// News is a host's own statement on whether it is leaving, passed on by other hosts.
type News struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Host     string
	// Incarnation increases with each start of the host's daemon; the greatest one counts.
	Incarnation uint64
	Leaving     bool
}

const (
	// suspectFailures is the number of failures in a row that make a suspect: one may be a lost packet or a full backlog.
	suspectFailures = 2
	// refusedTTL is how long a host that refused work as leaving gets none, unless its own news arrives before.
	refusedTTL = 3 * time.Second
	// leavingTTL is how long a host counts as leaving; the configuration service's host list has caught up long before.
	leavingTTL = 10 * time.Minute
	// maxTransmissions is how many times one item of news is sent. Each daemon that receives it
	// sends it as many times, which reaches 3,400 hosts many times over.
	maxTransmissions = 24
	// maxNewsPerDigest bounds the size of a digest when a whole availability zone leaves at once.
	maxNewsPerDigest = 8
	// probeInterval is the time between two attempts to reach a suspect.
	probeInterval = 2 * time.Second
)

// hostState is what is known of one host. transmissions counts how often its news has been sent, failures counts failures
// in a row, and attemptedAt is the time of the last failed attempt or probe.
type hostState struct {
	incarnation      uint64
	leaving          bool
	transmissions    int
	leavingChangedAt time.Time
	failures         int
	suspectSince     time.Time
	refusedUntil     time.Time
	attemptedAt      time.Time
}

// Table is what one daemon knows of the other hosts beyond the configuration service's host list; it belongs to the control goroutine.
type Table struct {
	listed map[string]lists.Host
	byPeer map[netip.AddrPort]string
	states map[string]*hostState
	// failing are the hosts with failures, which are checked several times a second.
	failing map[string]bool
	// newsQueue are the hosts whose news is still sent, the newest last.
	newsQueue []string
	probes    probeLimiter
}

// New returns a table without hosts.
func New() *Table {
	return &Table{listed: map[string]lists.Host{}, states: map[string]*hostState{}, failing: map[string]bool{}}
}

// SetHosts replaces the configuration service's host list and forgets hosts that are no longer on it.
func (t *Table) SetHosts(hosts []lists.Host) {
	t.listed = make(map[string]lists.Host, len(hosts))
	t.byPeer = make(map[netip.AddrPort]string, len(hosts))
	for _, h := range hosts {
		t.byPeer[h.Peer] = h.Host
		t.listed[h.Host] = h
	}
	for host := range t.states {
		if _, ok := t.listed[host]; !ok {
			delete(t.states, host)
			delete(t.failing, host)
		}
	}
}

// HostAt returns the name of the listed host with the given address, or an empty string.
func (t *Table) HostAt(peer netip.AddrPort) string { return t.byPeer[peer] }

// state returns the host's state, adding one if there is none.
func (t *Table) state(host string) *hostState {
	s := t.states[host]
	if s == nil {
		s = &hostState{}
		t.states[host] = s
	}
	return s
}

// Apply applies a host's news, received from itself or from another host, and reports whether it changed anything.
func (t *Table) Apply(n News, now time.Time) bool {
	s := t.state(n.Host)
	newer := n.Incarnation > s.incarnation || (n.Incarnation == s.incarnation && n.Leaving && !s.leaving)
	if !newer {
		return false
	}
	changed := n.Leaving != s.leaving
	s.incarnation, s.leaving = n.Incarnation, n.Leaving
	if !changed {
		return false
	}
	s.transmissions, s.leavingChangedAt, s.refusedUntil = 0, now, time.Time{}
	t.newsQueue = append(slices.DeleteFunc(t.newsQueue, func(h string) bool { return h == n.Host }), n.Host)
	return true
}

// NextNews returns the newest news for a digest and counts the transmission.
func (t *Table) NextNews() []News {
	var out []News
	for i := len(t.newsQueue) - 1; i >= 0 && len(out) < maxNewsPerDigest; i-- {
		host := t.newsQueue[i]
		s := t.states[host]
		if s == nil || s.transmissions >= maxTransmissions {
			t.newsQueue = slices.Delete(t.newsQueue, i, i+1)
			continue
		}
		s.transmissions++
		out = append(out, News{Host: host, Incarnation: s.incarnation, Leaving: s.leaving})
	}
	return out
}

// Reached records that the host answered and reports whether it was a suspect.
func (t *Table) Reached(host string) bool {
	s := t.states[host]
	if s == nil || s.failures == 0 {
		return false
	}
	cleared := s.failures >= suspectFailures
	s.failures = 0
	delete(t.failing, host)
	if cleared {
		t.probes.speedUp()
	}
	return cleared
}

// Failed records that the host could not be reached and reports whether that makes it a suspect.
func (t *Table) Failed(host string, now time.Time) bool {
	if _, ok := t.listed[host]; !ok {
		return false
	}
	s := t.state(host)
	s.failures++
	t.failing[host] = true
	s.attemptedAt = now
	if s.failures != suspectFailures {
		return false
	}
	s.suspectSince = now
	return true
}

// Refused records that the host refused work because it is leaving.
func (t *Table) Refused(host string, now time.Time) {
	t.state(host).refusedUntil = now.Add(refusedTTL)
}

// Suspect reports whether the last attempts to reach the host failed.
func (t *Table) Suspect(host string) bool {
	s := t.states[host]
	return s != nil && s.failures >= suspectFailures
}

// DueProbes returns the listed hosts with failures that are due for another probe, as many as the rate allows: first those
// that are not yet suspects, then those that were tried longest ago.
//
// Without these probes a host that was unreachable for a while would stay a suspect
// for good where no request goes to it and it has no reason to send one.
func (t *Table) DueProbes(now time.Time) []lists.Host {
	if len(t.failing) == 0 {
		return nil
	}
	var due []string
	for host := range t.failing {
		if s := t.states[host]; now.Sub(s.attemptedAt) >= probeInterval {
			due = append(due, host)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.cappedFailures(a), t.cappedFailures(b)), t.states[a].attemptedAt.Compare(t.states[b].attemptedAt), cmp.Compare(a, b))
	})
	due = due[:t.probes.take(len(due), now)]
	out := make([]lists.Host, 0, len(due))
	for _, host := range due {
		t.states[host].attemptedAt = now
		out = append(out, t.listed[host])
	}
	return out
}

// cappedFailures is the host's number of failures in a row, at most that of a suspect, to sort hosts that are not yet suspects first.
func (t *Table) cappedFailures(host string) int { return min(t.states[host].failures, suspectFailures) }

// View returns an immutable view for the goroutines that handle requests.
func (t *Table) View(now time.Time) *View {
	v := &View{leaving: map[string]bool{}, suspect: map[string]time.Time{}}
	for host, s := range t.states {
		if s.leaving && now.Sub(s.leavingChangedAt) > leavingTTL {
			s.leaving = false
		}
		if s.leaving || now.Before(s.refusedUntil) {
			v.leaving[host] = true
		}
		if s.failures >= suspectFailures {
			v.suspect[host] = s.suspectSince
		}
	}
	return v
}
