package rate

import (
	"slices"
	"strings"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// plans are the organisations' rates and bursts, sorted by organisation.
//
// Every daemon keeps all of them twice, as home and as borrower, and has traffic for a few. A map takes two to three times
// as much memory. An organisation with traffic has its plan in its token cache or bucket, so most calls don't search here.
type plans []lists.Organisation

func newPlans(organisations []lists.Organisation) plans {
	p := slices.Clone(organisations)
	slices.SortFunc(p, func(a, b lists.Organisation) int { return strings.Compare(a.Organisation, b.Organisation) })
	return p
}

func (p plans) find(name string) (lists.Organisation, bool) {
	index, ok := slices.BinarySearchFunc(p, name, func(o lists.Organisation, name string) int {
		return strings.Compare(o.Organisation, name)
	})
	if !ok {
		return lists.Organisation{}, false
	}
	return p[index], true
}
