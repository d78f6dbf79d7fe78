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

// TestMain fixes the seed, so that each run gives the same verdict; the command line can change it.
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
	begin = time.Unix(1_700_000_000, 0)
	aKey  = Key{Organisation: "dealer", Operation: "dispatch", Text: "k"}
	whole = call.Answer{Outcome: call.Whole, Status: 200, Body: []byte("sent")}
)

func TestRepeats(t *testing.T) {
	// A dispatcher's answer is late, and its client sends the booking again,
	// perhaps several times, while the first is at work and after it.
	Convey("With a key whose request is at work", t, func() {
		l := New(time.Minute, 100, 100, begin)
		So(l.Begin(aKey, Fingerprint{1}, begin).Claim, ShouldEqual, Begun)
		joined := l.Begin(aKey, Fingerprint{1}, begin)
		So(joined.Claim, ShouldEqual, Joined)
		cases := []struct {
			name  string
			first call.Answer
			want  Claim
		}{
			{"a whole answer is given again", whole, Answered},
			{"an unknown outcome stays unknown", call.UnknownOutcome(call.AnswerLost), Doubtful},
			{"one that was not run may run", call.Refuse(call.Overloaded, 0), Begun},
			{"an answer too large to keep is not made up", call.Answer{Outcome: call.Whole, Body: make([]byte, 101)}, Doubtful},
		}
		for _, c := range cases {
			Convey(c.name, func() {
				l.Finish(aKey, c.first, begin)
				<-joined.Done
				again := l.Begin(aKey, Fingerprint{1}, begin)
				So(again.Claim, ShouldEqual, c.want)
				if c.want == Answered {
					So(again.Answer, ShouldResemble, whole)
				}
			})
		}
		Convey("another request with the key is not taken for a repeat", func() {
			So(l.Begin(aKey, Fingerprint{2}, begin).Claim, ShouldEqual, Mismatched)
		})
		Convey("it is kept however long it takes", func() {
			So(l.Begin(aKey, Fingerprint{1}, begin.Add(time.Hour)).Claim, ShouldEqual, Joined)
		})
		Convey("others are told of it, and nothing else changes", func() {
			So(l.Recall(aKey, "other", begin).State, ShouldEqual, Running)
			l.Finish(aKey, whole, begin)
			So(l.Begin(aKey, Fingerprint{1}, begin).Claim, ShouldEqual, Answered)
		})
	})
}

func TestBounds(t *testing.T) {
	// One organisation floods the fleet with new keys. Memory must stay within
	// its bound, no key may be forgotten early, and the others are still served.
	Convey("A full memory takes no more keys until old ones expire", t, func() {
		l := New(time.Minute, 10, 100, begin)
		taken := func(organisation string, now time.Time) int {
			count := 0
			for i := range 20 {
				k := Key{Organisation: organisation, Text: fmt.Sprint(organisation, i, now)}
				if l.Begin(k, Fingerprint{}, now).Claim == Begun {
					l.Finish(k, whole, now)
					count++
				}
			}
			return count
		}
		So(taken("flood", begin), ShouldEqual, 5)
		So(taken("other", begin), ShouldEqual, 5)
		refused := l.Begin(aKey, Fingerprint{}, begin.Add(20*time.Second))
		So(refused.Claim, ShouldEqual, Full)
		So(refused.Wait, ShouldEqual, 40*time.Second)
		So(l.Recall(aKey, "other", begin).State, ShouldEqual, Lost)
		So(taken("flood", begin.Add(time.Minute)), ShouldEqual, 5)
		keys, bytes := l.Size()
		So(keys, ShouldEqual, 5)
		So(bytes, ShouldEqual, 5*len(whole.Body))
	})
}

func TestPassedOn(t *testing.T) {
	// A host is restarted for a new release. Without its memory, the repeat of
	// a payment that it had settled would be settled again.
	Convey("A leaving daemon's keys and how far back they reach go to the others", t, func() {
		leaving, stays := New(time.Minute, 10, 100, begin), New(time.Minute, 10, 100, begin)
		now := begin.Add(time.Hour)
		leaving.Begin(aKey, Fingerprint{1}, now)
		leaving.Finish(aKey, whole, now)
		So(stays.Inherit("leaving", leaving.Records(now), leaving.Own(now).Age, now), ShouldBeTrue)
		So(stays.Begin(aKey, Fingerprint{1}, now).Answer, ShouldResemble, whole)
		So(stays.Own(now).Legacies["leaving"], ShouldEqual, time.Minute)
		So(stays.Own(now.Add(time.Minute)).Legacies, ShouldBeEmpty)
	})
}

func TestVouching(t *testing.T) {
	old, young := time.Minute, time.Second
	cases := []struct {
		name string
		q    Evidence
		want bool
	}{
		{"a holder that remembers the whole window", Evidence{Own: RecallReply{Age: old}, Required: []string{"me"}}, true},
		{"one that has just started", Evidence{Own: RecallReply{Age: young}, Required: []string{"me"}}, false},
		{"one that has just started, with a new key", Evidence{Own: RecallReply{Age: young}, Need: time.Millisecond, Required: []string{"me"}}, true},
		{"one whose memory another keeps", Evidence{
			Own: RecallReply{Age: young}, Required: []string{"me"},
			Replies: map[string]RecallReply{"b": {Age: old, Legacies: map[string]time.Duration{"me": old}}},
		}, true},
		{"an earlier holder that can't be reached", Evidence{Own: RecallReply{Age: old}, Required: []string{"gone", "me"}}, false},
		{"an earlier holder that another knows of and that can't be reached", Evidence{
			Own: RecallReply{Age: old}, Required: []string{"me"},
			Replies: map[string]RecallReply{"b": {Age: old, Required: []string{"gone"}}},
		}, false},
		{"an earlier holder that knows nothing", Evidence{Own: RecallReply{Age: old}, Required: []string{"b", "me"}, Replies: map[string]RecallReply{"b": {Age: old}}}, true},
		{"an earlier holder that knows the key", Evidence{
			Own: RecallReply{Age: old}, Required: []string{"b", "me"}, Replies: map[string]RecallReply{"b": {Age: old, State: Lost}},
		}, false},
		{"a key that went to a daemon which crashed since", Evidence{
			Own: RecallReply{Age: old}, Required: []string{"me"}, Moves: []Move{{To: "b", Ago: 2 * young}},
			Replies: map[string]RecallReply{"b": {Age: young}},
		}, false},
		{"a key that went to a daemon which still remembers", Evidence{
			Own: RecallReply{Age: old}, Required: []string{"me"}, Moves: []Move{{To: "b", Ago: 2 * young}},
			Replies: map[string]RecallReply{"b": {Age: old}},
		}, true},
	}
	Convey("A request runs only if no daemon can have run it", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				c.q.Self, c.q.Window = "me", time.Minute
				if c.q.Need == 0 {
					c.q.Need = time.Minute
				}
				So(c.q.New(), ShouldEqual, c.want)
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
	Convey("With a list that lost a key's holder", t, func() {
		h := NewHistory(time.Minute)
		h.Observe(1, three, begin)
		h.Confirm("a", map[string]ListReport{"b": {Version: 1, Hosts: three}}, begin)
		now := begin.Add(time.Hour)
		h.Observe(2, two, now)
		Convey("the earlier holder counts until the new list is confirmed and what it may do is over", func() {
			later := now.Add(time.Hour)
			So(h.Required(key, later), ShouldContain, "c")
			h.Confirm("a", map[string]ListReport{"b": {Version: 2, Hosts: two}}, later)
			So(h.Required(key, later.Add(90*time.Second)), ShouldContain, "c")
			So(h.Required(key, later.Add(91*time.Second)), ShouldNotContain, "c")
		})
		Convey("the new list counts only while most of its hosts have it", func() {
			So(h.Confirmed(now), ShouldBeFalse)
			h.Confirm("a", map[string]ListReport{"b": {Version: 1, Hosts: three}}, now)
			So(h.Confirmed(now), ShouldBeFalse)
			h.Confirm("a", map[string]ListReport{"b": {Version: 2, Hosts: two}}, now)
			So(h.Confirmed(now), ShouldBeTrue)
			So(h.Confirmed(now.Add(30*time.Second)), ShouldBeFalse)
		})
		Convey("an earlier list counts while a majority of its hosts may still have it", func() {
			moved := now.Add(time.Second)
			h.Observe(3, []string{"a"}, moved)
			h.Confirm("a", nil, moved)
			So(h.Required(key, moved.Add(time.Hour)), ShouldContain, "c")
			h.Confirm("a", map[string]ListReport{"b": {Version: 3, Hosts: []string{"a"}}}, moved.Add(time.Hour))
			So(h.Required(key, moved.Add(2*time.Hour)), ShouldNotContain, "c")
		})
		Convey("a list that was skipped may have named anybody", func() {
			h.Observe(4, two, now)
			So(h.Required(Key{Text: "any"}, now), ShouldResemble, three)
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
		{"a UUID that tells its time", "018bcfe5-6800-7000-8000-000000000001", Skew},
		{"one of a caller whose clock is ahead", "018bcfe5-7000-7000-8000-000000000001", Skew},
		{"one made 256 ms before", "018bcfe5-6700-7000-8000-000000000001", Skew + 256*time.Millisecond},
		{"a random UUID", "7d444840-9dc0-41d1-b245-5ffdce74fad2", time.Minute},
		{"any text", "order 17", time.Minute},
	}
	Convey("A key is as old as it can be", t, func() {
		for _, c := range cases {
			Convey(c.name, func() { So(Key{Text: c.text}.Age(now, time.Minute), ShouldEqual, c.want) })
		}
	})
}
