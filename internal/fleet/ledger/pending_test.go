package ledger

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Half of a service's hosts are in an unreachable region. A caller that books with a new key must not be told that a
// request with this key came before and that a retry does not help: it would check by hand for a booking that was never begun.
func TestOnlyRepliesMissing(t *testing.T) {
	old, young := RecallReply{MemoryAge: time.Hour}, RecallReply{MemoryAge: time.Second}
	cases := []struct {
		name               string
		own                RecallReply
		transfers          []Transfer
		replies            map[string]RecallReply
		onlyRepliesMissing bool
	}{
		{"all records reach far enough back", old, nil, map[string]RecallReply{"b": old, "c": old}, false},
		{"one daemon does not reply", old, nil, map[string]RecallReply{"b": old}, true},
		{"no daemon replies", old, nil, nil, true},
		{"one daemon does not reply, and another has lost its records", old, nil, map[string]RecallReply{"b": young}, false},
		{"one daemon does not reply, and the asking daemon has lost its records", young, nil, map[string]RecallReply{"b": old}, false},
		{"one daemon does not reply, and another has a record of the key", old, nil, map[string]RecallReply{"b": {State: Lost, MemoryAge: time.Hour}}, false},
		{"a daemon that the key was transferred to does not reply", old, []Transfer{{To: "d"}}, map[string]RecallReply{"b": old, "c": old}, true},
		{"a possible holder that only another's reply names does not reply", old, nil, map[string]RecallReply{"b": {MemoryAge: time.Hour, PossibleHolders: []string{"d"}}, "c": old}, true},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			evidence := Evidence{
				Self: "a", Own: c.own, Transfers: c.transfers, Window: time.Hour, MaxKeyAge: time.Minute,
				PossibleHolders: []string{"a", "b", "c"}, Replies: c.replies,
			}
			So(evidence.OnlyRepliesMissing(), ShouldEqual, c.onlyRepliesMissing)
			So(evidence.OnlyRepliesMissing() && evidence.ProvesNew(), ShouldBeFalse)
		})
	}
}
