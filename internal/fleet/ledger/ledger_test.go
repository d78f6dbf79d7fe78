package ledger

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// TestMain fixes the seed, so that each run gives the same result; the command line can change it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "10000", "rapid.seed": "6", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

var (
	startTime   = time.Unix(1_700_000_000, 0)
	testKey     = Key{Organisation: "dealer", Operation: "dispatch", Text: "k"}
	wholeAnswer = call.Answer{Outcome: call.Whole, Status: 200, Body: []byte("sent")}
)

func TestClientRetries(t *testing.T) {
	// A response is late, and the client retries the booking, perhaps several
	// times, while the first request is running and after it.
	Convey("With a key whose request is running", t, func() {
		l := New(time.Minute, 100, 100, startTime)
		So(l.Begin(testKey, Fingerprint{1}, startTime).Claim, ShouldEqual, Begun)
		joined := l.Begin(testKey, Fingerprint{1}, startTime)
		So(joined.Claim, ShouldEqual, Joined)
		cases := []struct {
			name  string
			first call.Answer
			want  Claim
		}{
			{"a retry gets the recorded whole response", wholeAnswer, Answered},
			{"an unknown outcome stays unknown", call.UnknownOutcome(call.AnswerLost), Doubtful},
			{"a request that was not run may run", call.Refuse(call.Overloaded, 0), Begun},
			{"a response too large to keep makes the outcome unknown", call.Answer{Outcome: call.Whole, Body: make([]byte, 101)}, Doubtful},
		}
		for _, c := range cases {
			Convey(c.name, func() {
				l.Finish(testKey, c.first, startTime)
				<-joined.Done
				retry := l.Begin(testKey, Fingerprint{1}, startTime)
				So(retry.Claim, ShouldEqual, c.want)
				if c.want == Answered {
					So(retry.Answer, ShouldResemble, wholeAnswer)
				}
			})
		}
		Convey("another request with the same key is not taken for a retry", func() {
			So(l.Begin(testKey, Fingerprint{2}, startTime).Claim, ShouldEqual, Mismatched)
		})
		Convey("its record is kept until the request ends", func() {
			So(l.Begin(testKey, Fingerprint{1}, startTime.Add(time.Hour)).Claim, ShouldEqual, Joined)
		})
		Convey("a recall reports it as running and changes nothing", func() {
			So(l.Recall(testKey, "other", startTime).State, ShouldEqual, Running)
			l.Finish(testKey, wholeAnswer, startTime)
			So(l.Begin(testKey, Fingerprint{1}, startTime).Claim, ShouldEqual, Answered)
		})
	})
}

func TestCapacity(t *testing.T) {
	// One organisation floods the fleet with new keys. Memory must stay within
	// its bound, no key may be forgotten early, and other organisations are still served.
	Convey("A full ledger accepts no more keys until old ones expire", t, func() {
		l := New(time.Minute, 10, 100, startTime)
		addKeys := func(organisation string, now time.Time) int {
			count := 0
			for i := range 20 {
				k := Key{Organisation: organisation, Text: fmt.Sprint(organisation, i, now)}
				if l.Begin(k, Fingerprint{}, now).Claim == Begun {
					l.Finish(k, wholeAnswer, now)
					count++
				}
			}
			return count
		}
		So(addKeys("flood", startTime), ShouldEqual, 5)
		So(addKeys("other", startTime), ShouldEqual, 5)
		refused := l.Begin(testKey, Fingerprint{}, startTime.Add(20*time.Second))
		So(refused.Claim, ShouldEqual, Full)
		So(refused.Wait, ShouldEqual, 40*time.Second)
		So(l.Recall(testKey, "other", startTime).State, ShouldEqual, Lost)
		So(addKeys("flood", startTime.Add(time.Minute)), ShouldEqual, 5)
		keys, bytes := l.Size()
		So(keys, ShouldEqual, 5)
		So(bytes, ShouldEqual, 5*len(wholeAnswer.Body))
	})
}

func TestInheritedKeys(t *testing.T) {
	// A host is restarted for a new release. Without its records, the retry of
	// a payment that it had settled would be settled twice.
	Convey("A leaving daemon's records and how far back they reach are handed over", t, func() {
		leaving, remaining := New(time.Minute, 10, 100, startTime), New(time.Minute, 10, 100, startTime)
		now := startTime.Add(time.Hour)
		leaving.Begin(testKey, Fingerprint{1}, now)
		leaving.Finish(testKey, wholeAnswer, now)
		So(remaining.Inherit("leaving", leaving.Records(now), leaving.Coverage(now).MemoryAge, now), ShouldBeTrue)
		So(remaining.Begin(testKey, Fingerprint{1}, now).Answer, ShouldResemble, wholeAnswer)
		So(remaining.Coverage(now).Inherited["leaving"], ShouldEqual, time.Minute)
		So(remaining.Coverage(now.Add(time.Minute)).Inherited, ShouldBeEmpty)
	})
}

func TestProvenNew(t *testing.T) {
	old, young := time.Minute, time.Second
	cases := []struct {
		name     string
		evidence Evidence
		want     bool
	}{
		{"a holder whose records cover the whole window", Evidence{Own: RecallReply{MemoryAge: old}, PossibleHolders: []string{"me"}}, true},
		{"a holder that has just started", Evidence{Own: RecallReply{MemoryAge: young}, PossibleHolders: []string{"me"}}, false},
		{"a holder that has just started, with a new key", Evidence{Own: RecallReply{MemoryAge: young}, MaxKeyAge: time.Millisecond, PossibleHolders: []string{"me"}}, true},
		{"a holder whose earlier records another daemon inherited", Evidence{
			Own: RecallReply{MemoryAge: young}, PossibleHolders: []string{"me"},
			Replies: map[string]RecallReply{"b": {MemoryAge: old, Inherited: map[string]time.Duration{"me": old}}},
		}, true},
		{"an earlier holder that can't be reached", Evidence{Own: RecallReply{MemoryAge: old}, PossibleHolders: []string{"gone", "me"}}, false},
		{"an unreachable earlier holder that only another daemon's list names", Evidence{
			Own: RecallReply{MemoryAge: old}, PossibleHolders: []string{"me"},
			Replies: map[string]RecallReply{"b": {MemoryAge: old, PossibleHolders: []string{"gone"}}},
		}, false},
		{"an earlier holder without a record of the key", Evidence{Own: RecallReply{MemoryAge: old}, PossibleHolders: []string{"b", "me"}, Replies: map[string]RecallReply{"b": {MemoryAge: old}}}, true},
		{"an earlier holder with a record of the key", Evidence{
			Own: RecallReply{MemoryAge: old}, PossibleHolders: []string{"b", "me"}, Replies: map[string]RecallReply{"b": {MemoryAge: old, State: Lost}},
		}, false},
		{"a key transferred to a daemon that has crashed since", Evidence{
			Own: RecallReply{MemoryAge: old}, PossibleHolders: []string{"me"}, Transfers: []Transfer{{To: "b", Ago: 2 * young}},
			Replies: map[string]RecallReply{"b": {MemoryAge: young}},
		}, false},
		{"a key transferred to a daemon that still has its records", Evidence{
			Own: RecallReply{MemoryAge: old}, PossibleHolders: []string{"me"}, Transfers: []Transfer{{To: "b", Ago: 2 * young}},
			Replies: map[string]RecallReply{"b": {MemoryAge: old}},
		}, true},
	}
	// A retried charge must not run a second time at a daemon that does not know of the first run.
	Convey("A request runs only if no daemon can have run it", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				c.evidence.Self, c.evidence.Window = "me", time.Minute
				if c.evidence.MaxKeyAge == 0 {
					c.evidence.MaxKeyAge = time.Minute
				}
				So(c.evidence.ProvesNew(), ShouldEqual, c.want)
			})
		}
	})
}

func TestHistory(t *testing.T) {
	three, two := []string{"a", "b", "c"}, []string{"a", "b"}
	key := Key{}
	for i := 0; Holder(key, three) != "c"; i++ {
		key.Text = fmt.Sprint(i)
	}
	// Hosts receive a new list at different times, so a key's earlier holder may
	// still run a request after this daemon has the new list.
	Convey("With a list from which a key's holder was removed", t, func() {
		h := NewHistory(time.Minute)
		h.Observe(1, three, startTime)
		h.Confirm("a", map[string]ListReport{"b": {Version: 1, Hosts: three}}, startTime)
		now := startTime.Add(time.Hour)
		h.Observe(2, two, now)
		Convey("the earlier holder counts until the new list is confirmed, and for a window and a confirmation's validity beyond", func() {
			later := now.Add(time.Hour)
			So(h.PossibleHolders(key, later), ShouldContain, "c")
			h.Confirm("a", map[string]ListReport{"b": {Version: 2, Hosts: two}}, later)
			So(h.PossibleHolders(key, later.Add(90*time.Second)), ShouldContain, "c")
			So(h.PossibleHolders(key, later.Add(91*time.Second)), ShouldNotContain, "c")
		})
		Convey("the new list is valid only while a majority of its hosts have it", func() {
			So(h.Confirmed(now), ShouldBeFalse)
			h.Confirm("a", map[string]ListReport{"b": {Version: 1, Hosts: three}}, now)
			So(h.Confirmed(now), ShouldBeFalse)
			h.Confirm("a", map[string]ListReport{"b": {Version: 2, Hosts: two}}, now)
			So(h.Confirmed(now), ShouldBeTrue)
			So(h.Confirmed(now.Add(30*time.Second)), ShouldBeFalse)
		})
		Convey("an earlier list counts while a majority of its hosts may still have it", func() {
			shrunkAt := now.Add(time.Second)
			h.Observe(3, []string{"a"}, shrunkAt)
			h.Confirm("a", nil, shrunkAt)
			So(h.PossibleHolders(key, shrunkAt.Add(time.Hour)), ShouldContain, "c")
			h.Confirm("a", map[string]ListReport{"b": {Version: 3, Hosts: []string{"a"}}}, shrunkAt.Add(time.Hour))
			So(h.PossibleHolders(key, shrunkAt.Add(2*time.Hour)), ShouldNotContain, "c")
		})
		Convey("after a missed list any host may have held the key", func() {
			h.Observe(4, two, now)
			So(h.PossibleHolders(Key{Text: "any"}, now), ShouldResemble, three)
		})
	})
}

func TestKeyAge(t *testing.T) {
	now := time.UnixMilli(0x018bcfe56800)
	cases := []struct {
		name string
		text string
		want time.Duration
	}{
		{"a time-ordered UUID", "018bcfe5-6800-7000-8000-000000000001", MaxClockSkew},
		{"a time-ordered UUID of a caller whose clock is ahead", "018bcfe5-7000-7000-8000-000000000001", MaxClockSkew},
		{"a time-ordered UUID made 256 ms earlier", "018bcfe5-6700-7000-8000-000000000001", MaxClockSkew + 256*time.Millisecond},
		{"a random UUID", "7d444840-9dc0-41d1-b245-5ffdce74fad2", time.Minute},
		{"any text", "order 17", time.Minute},
	}
	Convey("A key's age is the maximum that its text allows", t, func() {
		for _, c := range cases {
			Convey(c.name, func() { So(Key{Text: c.text}.MaxAge(now, time.Minute), ShouldEqual, c.want) })
		}
	})
}
