package explain

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	refused    = `{"decision":"refuse","level":"info","method":"POST","msg":"door","outcome":"notRun","path":"/vehicles","reason":"overRate","requestId":"r2","organisation":"dealer","retryAfterMs":1500,"service":"lookup","time":"2026-12-02T10:00:02Z"}`
	served     = `{"attempt":1,"decision":"place","depth":0,"durationUs":3100,"host":"lookup-1","level":"info","msg":"route","operation":"lookup.find","organisation":"maker","outcome":"whole","reason":"none","requestId":"r1","service":"lookup","time":"2026-12-02T10:00:01Z","zone":"a"}`
	noDecision = `{"level":"info","list":"keys","msg":"list","time":"2026-12-02T10:00:00Z","verdict":"accepted","version":2}`
	truncated  = `{"decision":"place","depth":0,"dura`
)

func TestFound(t *testing.T) {
	log := strings.Join([]string{refused, noDecision, served, truncated}, "\n")
	at := func(second int) time.Time { return time.Date(2026, 12, 2, 10, 0, second, 0, time.UTC) }
	cases := []struct {
		name   string
		filter Filter
		ids    []string
	}{
		{"all, sorted by time", Filter{}, []string{"r1", "r2"}},
		{"one request", Filter{RequestID: "r2"}, []string{"r2"}},
		{"one organisation", Filter{Organisation: "maker"}, []string{"r1"}},
		{"from a time", Filter{Since: at(2)}, []string{"r2"}},
		{"until a time", Filter{Until: at(1)}, []string{"r1"}},
		{"refused", Filter{Refused: true}, []string{"r2"}},
		{"no match", Filter{Organisation: "none"}, nil},
	}
	Convey("Decisions are filtered by request, organisation, time and outcome", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var found Found
				So(found.Add(strings.NewReader(log), c.filter), ShouldBeNil)
				var ids []string
				for _, e := range found.Entries {
					ids = append(ids, e.RequestID)
				}
				So(ids, ShouldResemble, c.ids)
				So(found.Skipped, ShouldEqual, 1)
			})
		}
	})
}

func TestSentence(t *testing.T) {
	var found Found
	if err := found.Add(strings.NewReader(refused+"\n"+served), Filter{}); err != nil {
		t.Fatal(err)
	}
	Convey("A decision is described in a sentence", t, func() {
		So(found.Entries[0].Sentence(), ShouldEqual,
			"place, lookup.find of maker on lookup-1 in zone a, attempt 1, took 3.1ms: the upstream's whole answer came back.")
		So(found.Entries[1].Sentence(), ShouldEqual,
			"refuse, POST /lookup/vehicles of dealer: notRun (overRate). The organisation has spent its rate and burst over the whole fleet. "+
				"The caller was told to come back in 1.5s.")
	})
}

func TestEveryReasonHasAdvice(t *testing.T) {
	Convey("Every reason that a daemon can give has complete advice", t, func() {
		So(len(Reasons()), ShouldBeGreaterThan, 15)
		for _, r := range Reasons() {
			advice, ok := AdviceFor(r.String())
			So(ok, ShouldBeTrue)
			So(advice.Meaning, ShouldNotBeBlank)
			So(advice.Caller, ShouldNotBeBlank)
			So(advice.Operator, ShouldNotBeBlank)
		}
	})
}
