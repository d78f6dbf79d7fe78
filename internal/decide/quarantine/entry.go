package quarantine

import (
	"fmt"
	"slices"
	"time"
)

// CrashID identifies one crash of an instance.
type CrashID uint64

// Crash is one crash of an instance, with the contents that were at work there.
type Crash struct {
	ID   CrashID `msgpack:"id"`
	Salt Salt    `msgpack:"salt"`
	// Suspects has the contents' fingerprints by their route.
	Suspects map[string][]Fingerprint `msgpack:"suspects"`
}

// Key names a content.
type Key struct {
	Route       string
	Fingerprint Fingerprint
}

// String returns the key for a log line.
func (k Key) String() string { return fmt.Sprintf("%s %016x", k.Route, uint64(k.Fingerprint)) }

// Entry is what a table knows of one content, in the form in which tables exchange it.
type Entry struct {
	Salt        Salt        `msgpack:"salt"`
	Route       string      `msgpack:"route"`
	Fingerprint Fingerprint `msgpack:"fingerprint"`
	// Held has the crashes that are held against the content, Forgiven those that no longer are since the content has run to its end.
	Held     []CrashID `msgpack:"held"`
	Forgiven []CrashID `msgpack:"forgiven,omitempty"`
	// Age is how long ago the last crash was.
	Age time.Duration `msgpack:"age"`
}

// record is what a table knows of one content. A crash that one table has forgiven stays forgiven when tables are merged in any order.
type record struct {
	held, forgiven []CrashID
	lastAt         time.Time
}

const (
	// maxCrashes is how many crashes are held against a content before it is refused. One or two are bad luck: other content crashed the
	// instance, or all instances of a zone crashed together.
	maxCrashes = 3
	// holdTime is the time after which one crash fewer counts, from the last one on. A content is then tried once more; if that crashes an
	// instance too, it is refused for twice as long.
	holdTime = 10 * time.Minute
	// exclusiveTime is how long content runs on one instance at a time after its first crash. Many requests may have the same content, and they are held
	// up no longer than those that were at work need to be repeated.
	exclusiveTime = time.Second
	// maxHeld bounds the crashes that are held against one content, and so the time for which it is refused.
	maxHeld = 8
	// maxForgiven bounds the crashes that are remembered as forgiven.
	maxForgiven = 16
)

// add holds a crash against the content, unless it is known.
func (r *record) add(id CrashID, at time.Time) {
	if slices.Contains(r.held, id) || slices.Contains(r.forgiven, id) || len(r.held) == maxHeld {
		return
	}
	r.held = append(r.held, id)
	if at.After(r.lastAt) {
		r.lastAt = at
	}
}

// forgive forgives the oldest crash that is held.
func (r *record) forgive() {
	if len(r.held) == 0 {
		return
	}
	r.markForgiven(r.held[0])
}

// markForgiven forgives the crash.
func (r *record) markForgiven(id CrashID) {
	if slices.Contains(r.forgiven, id) {
		return
	}
	r.held = slices.DeleteFunc(r.held, func(other CrashID) bool { return other == id })
	r.forgiven = append(r.forgiven, id)
	r.forgiven = r.forgiven[max(len(r.forgiven)-maxForgiven, 0):]
}

// crashes returns how many crashes count against the content.
func (r *record) crashes(now time.Time) int {
	return max(len(r.held)-max(int(now.Sub(r.lastAt)/holdTime), 0), 0)
}

// exclusive reports whether the content runs on one instance at a time.
func (r *record) exclusive(now time.Time) bool {
	crashes := r.crashes(now)
	return crashes == maxCrashes-1 || crashes > 0 && crashes < maxCrashes && now.Sub(r.lastAt) < exclusiveTime
}

// refusedFor returns how long the content is still refused.
func (r *record) refusedFor(now time.Time) time.Duration {
	return r.lastAt.Add(time.Duration(len(r.held)-maxCrashes+1) * holdTime).Sub(now)
}
