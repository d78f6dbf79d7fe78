package check

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/ctl/draft"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

const (
	plans = `{"organisations":[
{"organisation":"dealer","plan":"basic","rate":1,"burst":1},
{"organisation":"maker","plan":"lost","rate":1,"burst":1}]}`
	uses = `{"operations":[
{"operation":"find","service":"lookup","method":"GET","path":"/","priority":"interactive","idempotent":true},
{"operation":"drop","service":"gone","method":"POST","path":"/","priority":"standard","idempotent":false}],
"plans":[
{"plan":"basic","operations":["find"]},
{"plan":"spare","operations":["find"]}]}`
	keys = `{"keys":[
{"id":"k1","organisation":"dealer","sha256":"a46d2462b8f383428b1145d2febb09acaa281d2d6a5464d29942c76bc03edba5"},
{"id":"k2","organisation":"nobody","sha256":"8c64aeb1c1aa8d56dff35716539f1eb8d4ce4cb58757bba295340f588626be31"}]}`
	hosts = `{"hosts":[{"host":"h","service":"lookup","zone":"a","peer":"127.0.0.1:7001"},
{"host":"g","service":"gone","zone":"a","peer":"127.0.0.1:7002","leaving":true}]}`
)

func newDraft(plans, uses, keys, hosts string) *draft.Draft {
	var all [lists.Kinds]draft.File
	for k, raw := range []string{plans, uses, keys, hosts} {
		if raw != "" {
			all[k] = draft.File{Name: lists.Kind(k).String(), Raw: []byte(raw)}
		}
	}
	return draft.Parse(all)
}

func texts(found Findings) []string {
	var all []string
	for _, f := range found {
		all = append(all, f.String())
	}
	return all
}

func TestLists(t *testing.T) {
	// Each list is valid by itself, so every daemon accepts it, and only an
	// organisation's refused requests show that two lists contradict each other.
	Convey("Entries that another list contradicts give warnings with their lines", t, func() {
		found := Lists(newDraft(plans, uses, keys, hosts))
		So(texts(found), ShouldResemble, []string{
			`plans:3: warning: organisations[1].plan: uses names no plan "lost": every request of "maker" would be refused`,
			`uses:6: warning: plans[1].plan: no organisation has the plan "spare"`,
			`keys:3: warning: keys[1].organisation: plans names no organisation "nobody": requests with key "k2" would be refused`,
			`plans:3: warning: organisations[1].organisation: "maker" has no key and can send nothing`,
			`uses:3: warning: operations[1].operation: no plan may use "drop"`,
			`uses:3: warning: operations[1].service: no live host serves "gone"`,
		})
		So(found.Faulty(), ShouldBeFalse)
	})
	Convey("The faults of all lists are reported together, and a list with faults is not compared with others", t, func() {
		found := Lists(newDraft(`{"organisations":[{"organisation":"a","plan":"p","rate":-1,"burst":0}]}`, "{\n]", keys, hosts))
		So(texts(found), ShouldHaveLength, 3)
		So(found.Faulty(), ShouldBeTrue)
	})
}

func TestSettings(t *testing.T) {
	valid := "# the daemon\nFOXTAILHOOK_HOST=h\nFOXTAILHOOK_SERVICE=\"s\"\nFOXTAILHOOK_ZONE=z\nPATH=/bin\n"
	cases := []struct {
		name  string
		env   string
		args  []string
		found []string
	}{
		{"valid", valid, nil, nil},
		{"fault on its line", valid + "FOXTAILHOOK_SLOTS=0\n", nil, []string{"env:6: fault: -slots: 0 is not from 1 to 100000"}},
		{"the command line takes precedence", valid + "FOXTAILHOOK_SLOTS=0\n", []string{"-slots", "5"}, nil},
		{"misspelt name", valid + "FOXTAILHOOK_SLOT=4\n", nil, []string{"env:6: fault: FOXTAILHOOK_SLOT: is no setting of the daemon"}},
		{"set twice", valid + "FOXTAILHOOK_ZONE=y\n", nil, []string{"env:6: fault: FOXTAILHOOK_ZONE: is set on line 4 too"}},
		{"not a pair", valid + "export\n", nil, []string{"env:6: fault: export: is not NAME=VALUE"}},
		{"nothing given", "", []string{"-host", "h", "-watch", "soon"}, []string{
			`settings: fault: -watch: "soon" is not a duration from 100ms to 5m0s`,
			"settings: fault: -service: must be given, without blanks, quotes or slashes",
			"settings: fault: -zone: must be given, without blanks, quotes or slashes",
		}},
	}
	Convey("Every fault of the settings is reported with its line or flag", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(texts(Settings("env", []byte(c.env), c.args)), ShouldResemble, c.found)
			})
		}
	})
}
