package ledger

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Half a service's hosts are in a region that is away. A caller books with a new key and is told that a request with it
// came before, and that coming back does not help. It finds out by hand about a booking that was never begun.
func TestPending(t *testing.T) {
	old, young := RecallReply{Age: time.Hour}, RecallReply{Age: time.Second}
	cases := []struct {
		name    string
		own     RecallReply
		moves   []Move
		replies map[string]RecallReply
		pending bool
	}{
		{"all remember far enough back", old, nil, map[string]RecallReply{"b": old, "c": old}, false},
		{"one is silent", old, nil, map[string]RecallReply{"b": old}, true},
		{"all are silent", old, nil, nil, true},
		{"one is silent, and one has lost its memory", old, nil, map[string]RecallReply{"b": young}, false},
		{"one is silent, and the own memory is lost", young, nil, map[string]RecallReply{"b": old}, false},
		{"one is silent, and one knows the key", old, nil, map[string]RecallReply{"b": {State: Lost, Age: time.Hour}}, false},
		{"one that the key went to is silent", old, []Move{{To: "d"}}, map[string]RecallReply{"b": old, "c": old}, true},
		{"one that another asks for is silent", old, nil, map[string]RecallReply{"b": {Age: time.Hour, Required: []string{"d"}}, "c": old}, true},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			q := Evidence{
				Self: "a", Own: c.own, Moves: c.moves, Window: time.Hour, Need: time.Minute,
				Required: []string{"a", "b", "c"}, Replies: c.replies,
			}
			So(q.Pending(), ShouldEqual, c.pending)
			So(q.Pending() && q.New(), ShouldBeFalse)
		})
	}
}
