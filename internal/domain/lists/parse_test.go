package lists

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFaultsOfPublishedValues(t *testing.T) {
	cases := []struct {
		name  string
		kind  Kind
		raw   string
		place string
		text  string
	}{
		{"unknown field", KindPlans, `{"organisations":[{"organisation":"a","tier":1}]}`, "line 1", "unknown field"},
		{"syntax", KindUses, "{\"operations\":[\n],\n\"plans\":[}", "line 3", "invalid character"},
		{"more text", KindKeys, `{"keys":[]} x`, "line 1", "more text"},
		{"duplicate organisation", KindPlans, `{"organisations":[{"organisation":"a","plan":"p","rate":1,"burst":1},{"organisation":"a","plan":"p","rate":1,"burst":1}]}`, "organisations[1].organisation", "duplicate of organisations[0]"},
		{"negative rate", KindPlans, `{"organisations":[{"organisation":"a","plan":"p","rate":-1,"burst":1}]}`, "organisations[0].rate", "above 0"},
		{"no burst", KindPlans, `{"organisations":[{"organisation":"a","plan":"p","rate":1,"burst":0}]}`, "organisations[0].burst", "1 to"},
		{"unlisted operation", KindUses, `{"operations":[],"plans":[{"plan":"p","operations":["x"]}]}`, "plans[0].operations", `no operation is called "x"`},
		{"unknown priority", KindUses, `{"operations":[{"operation":"o","service":"s","method":"GET","path":"/","priority":"urgent"}],"plans":[]}`, "operations[0].priority", "urgent"},
		{"short hash", KindKeys, `{"keys":[{"id":"k","organisation":"a","sha256":"ab"}]}`, "keys[0].sha256", "64"},
		{"no port", KindHosts, `{"hosts":[{"host":"h","service":"s","zone":"z","peer":"127.0.0.1:0"}]}`, "hosts[0].peer", "with a port"},
		{"too large", KindHosts, strings.Repeat(" ", 2<<20), "value", "at most 1048576"},
	}
	Convey("A value with a fault is rejected as a whole, with the fault's position, and the last accepted value stays in force", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				set := NewSet()
				verdict, faults := set.Offer(Value{Kind: c.kind, Version: 7, Raw: []byte(c.raw)})
				So(verdict, ShouldEqual, Rejected)
				So(faults, ShouldHaveLength, 1)
				So(faults[0].Place, ShouldEqual, c.place)
				So(faults[0].Text, ShouldContainSubstring, c.text)
				So(set.Value(c.kind).Version, ShouldEqual, 0)
				So(set.Rejection(c.kind).Version, ShouldEqual, 7)
			})
		}
	})
}

func TestVersionsOnlyGrow(t *testing.T) {
	// Guards against accepting an older value from a lagging replica of the platform or a
	// peer that was paused: a withdrawn key would work again and an operator's change would be undone.
	Convey("The highest accepted version stays in force", t, func() {
		set := NewSet()
		steps := []struct {
			version uint64
			raw     string
			verdict Verdict
			inForce uint64
		}{
			{3, `{"keys":[]}`, Accepted, 3},
			{2, `{"keys":[]}`, Old, 3},
			{5, `{"keys":`, Rejected, 3},
			{5, `{"keys":`, Old, 3},
			{4, `{"keys":[]}`, Accepted, 4},
			{6, `{"keys":[]}`, Accepted, 6},
		}
		for _, step := range steps {
			verdict, _ := set.Offer(Value{Kind: KindKeys, Version: step.version, Raw: []byte(step.raw)})
			So(verdict, ShouldEqual, step.verdict)
			So(set.View().Version(KindKeys), ShouldEqual, step.inForce)
		}
	})
}
