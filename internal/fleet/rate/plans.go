package rate

import (
	"slices"
	"strings"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// plans are the organisations' rates and bursts in the order of their names.
//
// Every daemon has all of them twice, as home and as borrower, and traffic for a few. In a map they take two to three
// times as much memory; one that has traffic has its plan in its purse or bucket, so most calls don't search here.
type plans []lists.Organisation

func newPlans(organisations []lists.Organisation) plans {
	p := slices.Clone(organisations)
	slices.SortFunc(p, func(a, b lists.Organisation) int { return strings.Compare(a.Organisation, b.Organisation) })
	return p
}

func (p plans) find(name string) (lists.Organisation, bool) {
	at, ok := slices.BinarySearchFunc(p, name, func(o lists.Organisation, name string) int {
		return strings.Compare(o.Organisation, name)
	})
	if !ok {
		return lists.Organisation{}, false
	}
	return p[at], true
}
