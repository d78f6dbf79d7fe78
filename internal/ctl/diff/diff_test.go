package diff

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/ctl/draft"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

const (
	plans = `{"organisations":[{"organisation":"dealer","plan":"basic","rate":10,"burst":20},{"organisation":"maker","plan":"basic","rate":5,"burst":5}]}`
	uses  = `{"operations":[
{"operation":"find","service":"lookup","method":"GET","path":"/v","priority":"interactive","idempotent":true},
{"operation":"send","service":"dispatch","method":"POST","path":"/n","priority":"standard","idempotent":false}],
"plans":[{"plan":"basic","operations":["find"]},{"plan":"full","operations":["find","send"]}]}`
	oldHash = "a46d2462b8f383428b1145d2febb09acaa281d2d6a5464d29942c76bc03edba5"
	keys    = `{"keys":[{"id":"k1","organisation":"dealer","sha256":"` + oldHash + `"}]}`
	newHash = "8c64aeb1c1aa8d56dff35716539f1eb8d4ce4cb58757bba295340f588626be31"
)

func newDraft(plans, uses, keys string) *draft.Draft {
	var files [lists.Kinds]draft.File
	for k, raw := range []string{plans, uses, keys} {
		files[k] = draft.File{Name: lists.Kind(k).String(), Raw: []byte(raw)}
	}
	return draft.Parse(files)
}

func TestCompare(t *testing.T) {
	cases := []struct {
		name  string
		after *draft.Draft
		want  []string
	}{
		{"nothing", newDraft(plans, uses, keys), nil},
		{"rate up, burst down", newDraft(strings.Replace(plans, `"rate":10,"burst":20`, `"rate":12.5,"burst":8`, 1), uses, keys), []string{
			"dealer: rate 10 requests/s -> 12.5 requests/s (up)", "dealer: burst 20 -> 8 (down)",
		}},
		{"another plan gains an operation", newDraft(strings.Replace(plans, `"basic"`, `"full"`, 1), uses, keys), []string{
			"dealer: plan basic -> full", "dealer: gains send",
		}},
		{"all organisations of a plan lose an operation", newDraft(plans, strings.Replace(uses, `["find"]`, `[]`, 1), keys), []string{
			"dealer: loses find", "maker: loses find",
		}},
		{"a key with the id of the former one", newDraft(plans, uses, strings.Replace(keys, oldHash, newHash, 1)), []string{
			"dealer: keyWithdrawn k1", "dealer: keyGiven k1",
		}},
		{"the last key withdrawn", newDraft(plans, uses, `{"keys":[]}`), []string{"dealer: keyWithdrawn k1 (it has no key left)"}},
		{"idempotent and priority", newDraft(plans, strings.Replace(uses, `"interactive","idempotent":true`, `"background","idempotent":false`, 1), keys), []string{
			"dealer: priority find interactive -> background (shed earlier under overload)",
			"dealer: idempotent find true -> false (runs at most once, lost answers are not repeated)",
			"maker: priority find interactive -> background (shed earlier under overload)",
			"maker: idempotent find true -> false (runs at most once, lost answers are not repeated)",
		}},
		{"one leaves, one joins", newDraft(strings.Replace(plans, `"maker"`, `"new"`, 1), uses, keys), []string{
			"maker: leaves (every request of it is refused)",
			"new: joins none -> plan basic, 5 requests/s, burst 5", "new: gains find",
		}},
	}
	Convey("The changes of each organisation are listed", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(c.after.Valid(), ShouldBeTrue)
				var got []string
				for _, change := range Compare(newDraft(plans, uses, keys), c.after) {
					got = append(got, change.Organisation+": "+change.String())
				}
				So(got, ShouldResemble, c.want)
			})
		}
	})
}
