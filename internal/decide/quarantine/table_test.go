package quarantine

import (
	"bytes"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	start   = time.Unix(1000, 0)
	content = Content{Organisation: "o", Route: "r", Method: "GET", Host: "h", Target: "/a", Body: []byte("b")}
)

// report reports a crash under the contents.
func report(t *Table, id CrashID, now time.Time, contents ...Content) []Key {
	crash := Crash{ID: id, Salt: t.Salt(), Suspects: map[string][]Fingerprint{}}
	for _, c := range contents {
		crash.Suspects[c.Route] = append(crash.Suspects[c.Route], c.Fingerprint(crash.Salt))
	}
	return t.Report(crash, now)
}

// TestFingerprint guards against a request that is refused for another one's content, such as another organisation's.
func TestFingerprint(t *testing.T) {
	salt := NewSalt()
	for _, c := range []struct {
		name  string
		other Content
	}{
		{"organisation", Content{"p", "r", "GET", "h", "/a", []byte("b")}},
		{"route", Content{"o", "s", "GET", "h", "/a", []byte("b")}},
		{"method", Content{"o", "r", "PUT", "h", "/a", []byte("b")}},
		{"host", Content{"o", "r", "GET", "i", "/a", []byte("b")}},
		{"target", Content{"o", "r", "GET", "h", "/c", []byte("b")}},
		{"body", Content{"o", "r", "GET", "h", "/a", []byte("c")}},
		{"boundary between fields", Content{"o", "r", "GET", "h/", "a", []byte("b")}},
		{"boundary between target and body", Content{"o", "r", "GET", "h", "/ab", nil}},
	} {
		Convey("Contents with another "+c.name+" have another fingerprint", t, func() {
			So(c.other.Fingerprint(salt), ShouldNotEqual, content.Fingerprint(salt))
		})
	}
	Convey("The same content has the same fingerprint, but not with another salt", t, func() {
		same := content
		same.Body = bytes.Clone(content.Body)
		So(same.Fingerprint(salt), ShouldEqual, content.Fingerprint(salt))
		So(content.Fingerprint(NewSalt()), ShouldNotEqual, content.Fingerprint(salt))
	})
}

// TestVerdicts guards against content that crashes instance after instance, and against the refusal of content that was at work by chance.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name               string
		crashes, successes int
		after              time.Duration
		counted            int
		exclusive, refused bool
		retryAfter         time.Duration
		// next is the Retry-After if the content crashes another instance then, 0 if it doesn't.
		next time.Duration
	}{
		{name: "without a crash it runs"},
		{name: "right after one crash it runs alone", crashes: 1, counted: 1, exclusive: true},
		{name: "a while after one crash it runs", crashes: 1, after: exclusiveTime, counted: 1},
		{name: "after two it runs alone", crashes: 2, counted: 2, exclusive: true},
		{name: "after three it is refused", crashes: 3, counted: 3, refused: true, retryAfter: holdTime},
		{name: "a success forgives one crash", crashes: 2, successes: 1, after: exclusiveTime, counted: 1},
		{name: "a run that was under way and succeeds forgives the third", crashes: 3, successes: 1, counted: 2, exclusive: true},
		{name: "more successes than crashes leave nothing", crashes: 2, successes: 5},
		{name: "nearly all of the time", crashes: 3, after: holdTime - time.Second, counted: 3, refused: true, retryAfter: time.Second},
		{name: "after the time it is tried once", crashes: 3, after: holdTime, counted: 2, exclusive: true, next: 2 * holdTime},
		{name: "after thrice the time it is forgotten", crashes: 3, after: 3 * holdTime},
	} {
		Convey("Content: "+c.name, t, func() {
			table := NewTable()
			for i := range c.crashes {
				report(table, CrashID(i+1), start, content)
			}
			for range c.successes {
				table.Succeeded(&content)
			}
			now := start.Add(c.after)
			verdict := table.Check(&content, now)
			So(verdict.Crashes, ShouldEqual, c.counted)
			So(verdict.Exclusive, ShouldEqual, c.exclusive)
			So(verdict.Refused, ShouldEqual, c.refused)
			So(verdict.RetryAfter, ShouldEqual, c.retryAfter)
			if c.next > 0 {
				report(table, 99, now, content)
				So(table.Check(&content, now).RetryAfter, ShouldEqual, c.next)
			}
		})
	}
	Convey("One crash counts once, however often it is reported", t, func() {
		table := NewTable()
		for range 5 {
			report(table, 1, start, content)
		}
		So(table.Check(&content, start).Crashes, ShouldEqual, 1)
	})
	// Guards against nine crashes where three are allowed: instances that crash at the same moment, for the first time, are reported with salts of their own.
	Convey("Crashes count together whatever the salts of their reports are", t, func() {
		first, second := NewTable(), NewTable()
		var crashes []Crash
		for id := range maxCrashes {
			salt := NewSalt()
			crashes = append(crashes, Crash{ID: CrashID(id + 1), Salt: salt, Suspects: map[string][]Fingerprint{"r": {content.Fingerprint(salt)}}})
		}
		for i := range crashes {
			first.Report(crashes[i], start)
			second.Report(crashes[len(crashes)-1-i], start)
		}
		So(first.Check(&content, start).Refused, ShouldBeTrue)
		So(first.Check(&content, start), ShouldResemble, second.Check(&content, start))
	})
	Convey("The report by which content is refused names it", t, func() {
		table := NewTable()
		So(report(table, 1, start, content), ShouldBeEmpty)
		So(report(table, 2, start, content), ShouldBeEmpty)
		So(report(table, 3, start, content), ShouldHaveLength, 1)
		So(report(table, 4, start, content), ShouldBeEmpty)
	})
}

// TestCommonContent guards against the refusal of content that many requests have, and that is therefore at work at every crash.
func TestCommonContent(t *testing.T) {
	Convey("Content that runs to its end between the crashes is never refused", t, func() {
		table := NewTable()
		for i := range 50 {
			report(table, CrashID(i+1), start, content)
			So(table.Check(&content, start).Refused, ShouldBeFalse)
			table.Succeeded(&content)
		}
		So(table.Check(&content, start).Crashes, ShouldEqual, 0)
	})
}

// TestVersion guards against requests that are hashed again and again, each since another one has run to its end.
func TestVersion(t *testing.T) {
	Convey("The version changes with the table only", t, func() {
		table := NewTable()
		empty := table.Version()
		table.Succeeded(&content)
		So(table.Version(), ShouldEqual, empty)
		report(table, 1, start, content)
		held := table.Version()
		So(held, ShouldNotEqual, empty)
		other := content
		other.Target = "/other"
		table.Succeeded(&other)
		So(table.Version(), ShouldEqual, held)
		table.Succeeded(&content)
		forgiven := table.Version()
		So(forgiven, ShouldNotEqual, held)
		table.Succeeded(&content)
		So(table.Version(), ShouldEqual, forgiven)
	})
}

// TestMerge guards against crashes that are held against content again, by a daemon that hasn't heard that it ran to its end, and against tables
// that differ by the order of what they heard.
func TestMerge(t *testing.T) {
	Convey("Two tables", t, func() {
		a, b := NewTable(), NewTable()
		crash := func(id CrashID, to ...*Table) {
			salt := a.Salt()
			for _, table := range to {
				table.Report(Crash{ID: id, Salt: salt, Suspects: map[string][]Fingerprint{"r": {content.Fingerprint(salt)}}}, start)
			}
		}
		exchange := func() {
			fromA, fromB := a.Entries(start), b.Entries(start)
			a.Merge(fromB, start)
			b.Merge(fromA, start)
		}
		Convey("have all crashes that either has heard of", func() {
			crash(1, a)
			crash(2, b)
			crash(3, a, b)
			exchange()
			So(a.Check(&content, start).Refused, ShouldBeTrue)
			So(b.Check(&content, start).Refused, ShouldBeTrue)
			So(a.Digest(), ShouldEqual, b.Digest())
		})
		Convey("forgive what either has forgiven, and for good", func() {
			crash(1, a, b)
			a.Succeeded(&content)
			before := a.Digest()
			a.Merge(b.Entries(start), start)
			So(a.Check(&content, start).Crashes, ShouldEqual, 0)
			So(a.Digest(), ShouldEqual, before)
			exchange()
			So(b.Check(&content, start).Crashes, ShouldEqual, 0)
			So(a.Digest(), ShouldEqual, b.Digest())
		})
		Convey("keep the age of a crash", func() {
			crash(1, a)
			crash(2, a)
			crash(3, a)
			b.Merge(a.Entries(start.Add(time.Minute)), start.Add(time.Hour))
			So(b.Check(&content, start.Add(time.Hour)).RetryAfter, ShouldEqual, holdTime-time.Minute)
		})
		Convey("use the same salt after the first report", func() {
			crash(1, b)
			So(b.Salt(), ShouldEqual, a.Salt())
		})
	})
}

// TestTableIsBounded guards against memory that grows with the crashes, and against content that is forgotten since many others were at work.
func TestTableIsBounded(t *testing.T) {
	Convey("Content that is refused outlasts a flood of others", t, func() {
		table := NewTable()
		for i := range maxCrashes {
			report(table, CrashID(i+1), start, content)
		}
		for i := range 40 {
			suspects := make([]Fingerprint, 500)
			for j := range suspects {
				suspects[j] = Fingerprint(1000*i + j)
			}
			table.Report(Crash{ID: CrashID(100 + i), Salt: table.Salt(), Suspects: map[string][]Fingerprint{"r": suspects}}, start.Add(time.Second))
			So(table.size, ShouldBeLessThanOrEqualTo, maxRecords)
		}
		So(table.Check(&content, start.Add(time.Second)).Refused, ShouldBeTrue)
		So(len(table.Entries(start)), ShouldEqual, maxEntries)
		So(table.Entries(start)[0].Held, ShouldHaveLength, maxCrashes)
	})
	Convey("The number of salts is bounded, and the one with the most records stays", t, func() {
		table := NewTable()
		for i := range maxCrashes {
			report(table, CrashID(i+1), start, content, Content{Route: "r2"})
		}
		for i := range 20 {
			table.Report(Crash{ID: CrashID(100 + i), Salt: NewSalt(), Suspects: map[string][]Fingerprint{"r": {1}}}, start)
		}
		So(len(table.salts), ShouldEqual, maxSalts)
		So(table.Check(&content, start).Refused, ShouldBeTrue)
	})
	Convey("What no longer counts is forgotten", t, func() {
		table := NewTable()
		report(table, 1, start, content)
		table.Expire(start.Add(holdTime))
		So(table.size, ShouldEqual, 1)
		table.Expire(start.Add(holdTime + time.Second))
		So(table.size, ShouldEqual, 0)
	})
}

// TestLocks guards against two requests with the same content that crash two instances at the same time.
func TestLocks(t *testing.T) {
	Convey("One request with a fingerprint runs at a time", t, func() {
		var l Locks
		_, ok := l.TryLock(1)
		So(ok, ShouldBeTrue)
		_, ok = l.TryLock(2)
		So(ok, ShouldBeTrue)
		unlocked, ok := l.TryLock(1)
		So(ok, ShouldBeFalse)
		l.Unlock(1)
		<-unlocked
		_, ok = l.TryLock(1)
		So(ok, ShouldBeTrue)
	})
}
