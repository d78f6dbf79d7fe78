package ledger

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Half of a service's hosts are in an unreachable region. A caller that books with a new key must not be told that a
// request with this key came before and that a retry does not help: it would check by hand for a booking that was never begun.
func TestOnlyRepliesMissing(t *testing.T) {
	old, young := RecallReply{Age: time.Hour}, RecallReply{Age: time.Second}
	cases := []struct {
		name    string
		own     RecallReply
		moves   []Move
		replies map[string]RecallReply
		pending bool
	}{
		{"all records reach far enough back", old, nil, map[string]RecallReply{"b": old, "c": old}, false},
		{"one daemon does not reply", old, nil, map[string]RecallReply{"b": old}, true},
		{"no daemon replies", old, nil, nil, true},
		{"one daemon does not reply, and another has lost its records", old, nil, map[string]RecallReply{"b": young}, false},
		{"one daemon does not reply, and the asking daemon has lost its records", young, nil, map[string]RecallReply{"b": old}, false},
		{"one daemon does not reply, and another has a record of the key", old, nil, map[string]RecallReply{"b": {State: Lost, Age: time.Hour}}, false},
		{"a daemon that the key was transferred to does not reply", old, []Move{{To: "d"}}, map[string]RecallReply{"b": old, "c": old}, true},
		{"a daemon that another's reply requires does not reply", old, nil, map[string]RecallReply{"b": {Age: time.Hour, Required: []string{"d"}}, "c": old}, true},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			evidence := Evidence{
				Self: "a", Own: c.own, Moves: c.moves, Window: time.Hour, Need: time.Minute,
				Required: []string{"a", "b", "c"}, Replies: c.replies,
			}
			So(evidence.Pending(), ShouldEqual, c.pending)
			So(evidence.Pending() && evidence.New(), ShouldBeFalse)
		})
	}
}
