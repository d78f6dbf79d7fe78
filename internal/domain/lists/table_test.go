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

// fragments are the pieces of random texts of a plans list, valid and invalid.
var fragments = []string{
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
	rows := rapid.SliceOfN(rapid.SampledFrom(fragments[:6]), 0, 5).Draw(t, "rows")
	return []byte(`{"organisations":[` + strings.Join(rows, ",") + "]}")
}

// edit replaces up to 52 bytes of a text by a fragment, one to three times; the shortest entry with its comma has 51 bytes.
func edit(t *rapid.T, raw []byte) []byte {
	out := bytes.Clone(raw)
	for range rapid.IntRange(1, 3).Draw(t, "edits") {
		start := rapid.IntRange(0, len(out)).Draw(t, "start")
		end := min(len(out), start+rapid.SampledFrom([]int{0, 0, 1, 2, 51, 52}).Draw(t, "deleted bytes"))
		out = slices.Concat(out[:start], []byte(rapid.SampledFrom(fragments).Draw(t, "fragment")), out[end:])
	}
	return out
}

func TestChangedTextsAreCheckedLikeWholeOnes(t *testing.T) {
	// Guards against daemons that disagree whether a version is valid because one decodes it as a whole at its
	// start and others as a change: some of the fleet would keep another list forever.
	Convey("A value has the same verdict, faults and entries whether it is the first one or follows others", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			set := NewSet()
			raw := drawPlans(t)
			for version := range uint64(rapid.IntRange(2, 8).Draw(t, "versions")) {
				v := Value{Kind: KindPlans, Version: version + 1, Raw: raw}
				verdict, faults := set.Offer(v)
				reference := NewSet()
				wantVerdict, wantFaults := reference.Offer(v)
				if verdict != wantVerdict || fmt.Sprint(faults) != fmt.Sprint(wantFaults) {
					t.Fatalf("%s: %v %v, want %v %v as in a new set", raw, verdict, faults, wantVerdict, wantFaults)
				}
				if verdict == Accepted && !slices.Equal(set.plans.entries, reference.plans.entries) {
					t.Fatalf("%s: %v, want %v as in a new set", raw, set.plans.entries, reference.plans.entries)
				}
				if rapid.IntRange(0, 3).Draw(t, "new text") == 0 {
					raw = drawPlans(t)
				} else {
					raw = edit(t, set.Value(KindPlans).Raw)
				}
			}
		})
	})
}

func TestOnlyChangedEntriesAreDecoded(t *testing.T) {
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
		readable      bool
	}{
		{"one replaced in the middle", list("a", "b", "c"), list("a", "x", "c"), true},
		{"the first removed", list("a", "b", "c"), list("b", "c"), true},
		{"the last removed", list("a", "b", "c"), list("a", "b"), true},
		{"one added at the end", list("a", "b"), list("a", "b", "c"), true},
		{"one added at the beginning", list("b", "c"), list("a", "b", "c"), true},
		{"one added to an empty list", list(), list("a"), true},
		{"the only entry removed", list("a"), list(), true},
		{"a duplicate", list("a", "b", "c"), list("a", "c", "c"), false},
		{"another field", list("a"), []byte(`{"Keys":[` + entry("a") + "]}\n"), false},
		{"more text", list("a"), append(list("a"), 'x'), false},
	}
	Convey("A change of some entries is decoded without the others, any other change only as a whole", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var before, whole table[Key, *Key]
				So(before.read(c.before, "keys"), ShouldBeNil)
				after, err := before.change(c.before, c.after)
				So(err == nil, ShouldEqual, c.readable)
				if err != nil {
					return
				}
				So(whole.read(c.after, "keys"), ShouldBeNil)
				So(slices.Equal(after.entries, whole.entries), ShouldBeTrue)
				So(slices.Equal(after.spans, whole.spans), ShouldBeTrue)
				So(after.arrayEnd, ShouldEqual, whole.arrayEnd)
				So(after.hashes, ShouldResemble, whole.hashes)
			})
		}
	})
}
