package lists

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// pieces are what random texts of a plans list are made of, sound or not.
var pieces = []string{
	`{"organisation":"a","plan":"p","rate":1,"burst":1}`,
	`{"organisation":"b","plan":"p","rate":1,"burst":1}`,
	`{"organisation":"a","plan":"q","rate":2,"burst":1, "weight" : 3}`,
	`{"organisation":"c","plan":"p","rate":0.5,"burst":9}`,
	`{"organisation":"d","plan":"p","rate":-1,"burst":1}`,
	`{"organisation":"e,]}","plan":"p","rate":1,"burst":1,"organisation":"f"}`,
	`{"organisation":"g","plan":"p","rate":1,"burst":1,"tier":1}`,
	"null", ",", " ", "\n", "", "]", "[", `],"organisations":[`, "}", "{", `"`, `\`,
}

func drawPlans(t *rapid.T) []byte {
	rows := rapid.SliceOfN(rapid.SampledFrom(pieces[:6]), 0, 5).Draw(t, "rows")
	return []byte(`{"organisations":[` + strings.Join(rows, ",") + "]}")
}

// edit alters a text: a piece or a byte comes in somewhere, or something goes.
func edit(t *rapid.T, raw []byte) []byte {
	out := bytes.Clone(raw)
	for range rapid.IntRange(1, 3).Draw(t, "edits") {
		at := rapid.IntRange(0, len(out)).Draw(t, "at")
		end := min(len(out), at+rapid.SampledFrom([]int{0, 0, 1, 2, 51, 52}).Draw(t, "cut"))
		out = slices.Concat(out[:at], []byte(rapid.SampledFrom(pieces).Draw(t, "piece")), out[end:])
	}
	return out
}

func TestChangedTextsAreJudgedLikeWholeOnes(t *testing.T) {
	// Daemons of one fleet come to a version by different ways: one reads it whole at its
	// start, others as a change of what they had. Were they to judge it
	// differently, a part of the fleet would stay on another list for good.
	Convey("A value has the same verdict, faults and entries whether it comes first or after others", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			set := NewSet()
			raw := drawPlans(t)
			for version := range uint64(rapid.IntRange(2, 8).Draw(t, "versions")) {
				v := Value{Kind: KindPlans, Version: version + 1, Raw: raw}
				verdict, faults := set.Offer(v)
				fresh := NewSet()
				wanted, wantedFaults := fresh.Offer(v)
				if verdict != wanted || fmt.Sprint(faults) != fmt.Sprint(wantedFaults) {
					t.Fatalf("%s: %v %v, alone %v %v", raw, verdict, faults, wanted, wantedFaults)
				}
				if verdict == Accepted && !slices.Equal(set.plans.entries, fresh.plans.entries) {
					t.Fatalf("%s: %v, alone %v", raw, set.plans.entries, fresh.plans.entries)
				}
				if rapid.IntRange(0, 3).Draw(t, "anew") == 0 {
					raw = drawPlans(t)
				} else {
					raw = edit(t, set.Value(KindPlans).Raw)
				}
			}
		})
	})
}

func TestOnlyWhatChangedIsRead(t *testing.T) {
	entry := func(id string) string {
		hash := HashKey(id)
		return fmt.Sprintf(`{"id":"%s","organisation":"o","sha256":"%x"}`, id, hash)
	}
	list := func(ids ...string) []byte {
		rows := make([]string, len(ids))
		for i, id := range ids {
			rows[i] = entry(id)
		}
		return []byte(`{"keys":[` + strings.Join(rows, ",\n") + "]}\n")
	}
	cases := []struct {
		name          string
		before, after []byte
		changes       bool
	}{
		{"one in the middle", list("a", "b", "c"), list("a", "x", "c"), true},
		{"the first goes", list("a", "b", "c"), list("b", "c"), true},
		{"the last goes", list("a", "b", "c"), list("a", "b"), true},
		{"one more at the end", list("a", "b"), list("a", "b", "c"), true},
		{"one more at the beginning", list("b", "c"), list("a", "b", "c"), true},
		{"the first of all", list(), list("a"), true},
		{"the last of all", list("a"), list(), true},
		{"a duplicate", list("a", "b", "c"), list("a", "c", "c"), false},
		{"another field", list("a"), []byte(`{"Keys":[` + entry("a") + "]}\n"), false},
		{"more text", list("a"), append(list("a"), 'x'), false},
	}
	Convey("A change of some entries is read without the others, and anything else as a whole", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var before, whole table[Key, *Key]
				So(before.read(c.before, "keys"), ShouldBeNil)
				after, err := before.change(c.before, c.after)
				So(err == nil, ShouldEqual, c.changes)
				if err != nil {
					return
				}
				So(whole.read(c.after, "keys"), ShouldBeNil)
				So(slices.Equal(after.entries, whole.entries), ShouldBeTrue)
				So(slices.Equal(after.spans, whole.spans), ShouldBeTrue)
				So(after.end, ShouldEqual, whole.end)
				So(after.marks, ShouldResemble, whole.marks)
			})
		}
	})
}
