package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Table counts crashes by content. It may be used by several goroutines.
type Table struct {
	mu sync.Mutex
	// salts has the records by the salt of their fingerprints, the salt that was received or created last at the end. Each table begins with a salt
	// of its own and then uses the one that it heard last, so that all tables of a service soon have the same.
	salts []*saltRecords
	size  int
	// version changes with each change.
	version atomic.Uint64
}

// saltRecords has the records whose fingerprints have the same salt.
type saltRecords struct {
	salt    Salt
	byRoute map[string]map[Fingerprint]*record
}

const (
	// maxSalts bounds the hashes that the check of one request needs. There are several where instances crash at the same moment for the first time.
	maxSalts = 4
	// maxRecords bounds a table's memory, to about 1 MB.
	maxRecords = 4096
	// maxEntries bounds the entries that are sent at once.
	maxEntries = 128
)

// Verdict says whether a request may run.
type Verdict struct {
	// Crashes is how many crashes count against the content.
	Crashes int
	// Refused means that it must not run, for the next RetryAfter.
	Refused    bool
	RetryAfter time.Duration
	// Exclusive means that the content runs on one instance at a time: the next crash would be the last one that is allowed, or the last one was so
	// recent that all who lost a request by it may be repeating it now. Fingerprint is the same for all requests that must not run beside each other.
	Exclusive   bool
	Fingerprint Fingerprint
}

// Option sets one property of a table.
type Option func(*Table)

// WithSalt sets the first salt, which is otherwise random.
func WithSalt(salt Salt) Option { return func(t *Table) { t.recordsOf(salt) } }

// NewTable returns an empty table.
func NewTable(opts ...Option) *Table {
	t := &Table{}
	for _, opt := range opts {
		opt(t)
	}
	if len(t.salts) == 0 {
		t.recordsOf(NewSalt())
	}
	return t
}

// Salt returns the salt for the fingerprints of new crashes.
func (t *Table) Salt() Salt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.salts[len(t.salts)-1].salt
}

// recordsOf returns the records with the salt, which becomes the newest one if it wasn't known.
func (t *Table) recordsOf(salt Salt) *saltRecords {
	for _, records := range t.salts {
		if records.salt == salt {
			return records
		}
	}
	if len(t.salts) == maxSalts {
		t.drop()
	}
	records := &saltRecords{salt: salt, byRoute: map[string]map[Fingerprint]*record{}}
	t.salts = append(t.salts, records)
	return records
}

// drop removes the salt with the fewest records.
func (t *Table) drop() {
	fewest := 0
	for i, records := range t.salts {
		if records.len() < t.salts[fewest].len() {
			fewest = i
		}
	}
	t.size -= t.salts[fewest].len()
	t.salts = slices.Delete(t.salts, fewest, fewest+1)
}

func (s *saltRecords) len() int {
	size := 0
	for _, records := range s.byRoute {
		size += len(records)
	}
	return size
}

// recordFor returns the record of a fingerprint, and creates it if there is none.
func (t *Table) recordFor(s *saltRecords, route string, f Fingerprint) *record {
	if r := s.byRoute[route][f]; r != nil {
		return r
	}
	if s.byRoute[route] == nil {
		s.byRoute[route] = map[Fingerprint]*record{}
	}
	r := &record{}
	s.byRoute[route][f] = r
	t.size++
	return r
}

// Report holds the crash against all contents that were at work, and returns those that are refused from now on.
func (t *Table) Report(crash Crash, now time.Time) (refused []Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := t.recordsOf(crash.Salt)
	for route, suspects := range crash.Suspects {
		for _, f := range suspects {
			r := t.recordFor(records, route, f)
			before := r.crashes(now)
			r.add(crash.ID, now)
			if before < maxCrashes && r.crashes(now) >= maxCrashes {
				refused = append(refused, Key{route, f})
			}
		}
	}
	t.shrink(now)
	t.version.Add(1)
	return refused
}

// Version returns a number that changes with each change of the table, so that a verdict is current as long as it doesn't.
func (t *Table) Version() uint64 { return t.version.Load() }

// Check returns the verdict on a content. It takes no time while there are no records of its route.
//
// Instances that crash at the same moment are reported with different salts, so that all records of the content count together.
func (t *Table) Check(content *Content, now time.Time) Verdict {
	fingerprints := t.fingerprints(content)
	if len(fingerprints) == 0 {
		return Verdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	all, verdict := record{}, Verdict{}
	for _, s := range fingerprints {
		r := t.find(s, content.Route)
		if r == nil || len(r.held) == 0 {
			continue
		}
		if verdict.Fingerprint == 0 {
			verdict.Fingerprint = s.fingerprint
		}
		for _, id := range r.held {
			all.add(id, r.lastAt)
		}
	}
	verdict.Crashes, verdict.Exclusive = all.crashes(now), all.exclusive(now)
	if verdict.Refused = verdict.Crashes >= maxCrashes; verdict.Refused {
		verdict.RetryAfter = all.refusedFor(now)
	}
	return verdict
}

// Succeeded records that an instance has run the content to its end, so that one crash fewer is held against it.
func (t *Table) Succeeded(content *Content) {
	fingerprints := t.fingerprints(content)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range fingerprints {
		if r := t.find(s, content.Route); r != nil && len(r.held) > 0 {
			r.forgive()
			t.version.Add(1)
			return
		}
	}
}

// salted is a content's fingerprint with a salt.
type salted struct {
	salt        Salt
	fingerprint Fingerprint
}

// fingerprints returns the content's fingerprints with the salts of its route's records, in an order that is the same in all tables. The content is
// hashed without the lock, since a body may be large.
func (t *Table) fingerprints(content *Content) []salted {
	var fingerprints []salted
	for _, salt := range t.saltsFor(content.Route) {
		fingerprints = append(fingerprints, salted{salt, content.Fingerprint(salt)})
	}
	return fingerprints
}

// saltsFor returns the salts with records of the route, in their own order.
func (t *Table) saltsFor(route string) []Salt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.size == 0 {
		return nil
	}
	var salts []Salt
	for _, records := range t.salts {
		if len(records.byRoute[route]) > 0 {
			salts = append(salts, records.salt)
		}
	}
	slices.SortFunc(salts, func(a, b Salt) int { return bytes.Compare(a[:], b[:]) })
	return salts
}

// find returns the record of a fingerprint, or nil.
func (t *Table) find(s salted, route string) *record {
	for _, records := range t.salts {
		if records.salt == s.salt {
			return records.byRoute[route][s.fingerprint]
		}
	}
	return nil
}

// Count returns the numbers of contents against which crashes count, and of those that are refused.
func (t *Table) Count(now time.Time) (suspected, refused int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all(func(_ Salt, _ string, _ Fingerprint, r *record) {
		switch crashes := r.crashes(now); {
		case crashes >= maxCrashes:
			refused++
		case crashes > 0:
			suspected++
		}
	})
	return suspected, refused
}

func (t *Table) all(f func(Salt, string, Fingerprint, *record)) {
	for _, records := range t.salts {
		for route, byFingerprint := range records.byRoute {
			for fingerprint, r := range byFingerprint {
				f(records.salt, route, fingerprint, r)
			}
		}
	}
}

// Digest returns a number that differs between tables with different records.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := uint64(0)
	t.all(func(_ Salt, _ string, f Fingerprint, r *record) {
		for _, id := range r.held {
			sum += uint64(f) * (2*uint64(id) + 1)
		}
		for _, id := range r.forgiven {
			sum += uint64(f) * (4*uint64(id) + 1)
		}
	})
	return sum
}

// Entries returns the records for another table, those with the most crashes first, and at most maxEntries.
func (t *Table) Entries(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []Entry
	t.all(func(salt Salt, route string, f Fingerprint, r *record) {
		entries = append(entries, Entry{
			Salt: salt, Route: route, Fingerprint: f, Held: slices.Clone(r.held), Forgiven: slices.Clone(r.forgiven), Age: now.Sub(r.lastAt),
		})
	})
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Or(cmp.Compare(len(b.Held), len(a.Held)), cmp.Compare(a.Age, b.Age)) })
	return entries[:min(len(entries), maxEntries)]
}

// Merge adds the entries of another table.
func (t *Table) Merge(entries []Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range entries {
		e := &entries[i]
		r := t.recordFor(t.recordsOf(e.Salt), e.Route, e.Fingerprint)
		for _, id := range e.Forgiven {
			r.markForgiven(id)
		}
		for _, id := range e.Held {
			r.add(id, now.Add(-e.Age))
		}
	}
	t.shrink(now)
	t.version.Add(1)
}

// Expire forgets the contents against which no crash counts any more.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.size > 0 {
		t.remove(func(r *record) bool { return now.Sub(r.lastAt) > time.Duration(max(len(r.held), 1))*holdTime })
	}
}

// shrink removes half of the records if there are too many: those with the fewest crashes, and among them the oldest. Content that crashes
// instances outlasts content that was at work by chance.
func (t *Table) shrink(now time.Time) {
	if t.size <= maxRecords {
		return
	}
	var all []*record
	t.all(func(_ Salt, _ string, _ Fingerprint, r *record) { all = append(all, r) })
	slices.SortFunc(all, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.crashes(now), b.crashes(now)), a.lastAt.Compare(b.lastAt))
	})
	surplus := make(map[*record]bool, len(all)/2)
	for _, r := range all[:len(all)/2] {
		surplus[r] = true
	}
	t.remove(func(r *record) bool { return surplus[r] })
}

// remove removes the records for which the condition holds.
func (t *Table) remove(condition func(*record) bool) {
	for _, records := range t.salts {
		for route, byFingerprint := range records.byRoute {
			for f, r := range byFingerprint {
				if condition(r) {
					delete(byFingerprint, f)
					t.size--
				}
			}
			if len(byFingerprint) == 0 {
				delete(records.byRoute, route)
			}
		}
	}
}
