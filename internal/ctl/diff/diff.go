package diff

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/foxtailhook/foxtailhook/internal/ctl/draft"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Compare returns the changes from one set of lists to another, sorted by
// organisation; a list that is missing counts as empty.
func Compare(before, after *draft.Draft) []Change {
	beforeIndex, afterIndex := newListIndex(before), newListIndex(after)
	var all []Change
	for _, name := range organisationNames(beforeIndex, afterIndex) {
		c := &comparison{name: name, before: beforeIndex, after: afterIndex}
		c.compareMembership()
		c.compareKeys()
		c.compareOperations()
		all = append(all, c.changes...)
	}
	return all
}

// listIndex has the entries of one set of lists by name: the keys by organisation and hash, and the operations of each plan.
type listIndex struct {
	organisations  map[string]lists.Organisation
	operations     map[string]lists.Operation
	planOperations map[string][]string
	keys           map[string]map[string]lists.Key
}

func newListIndex(d *draft.Draft) *listIndex {
	index := &listIndex{
		organisations:  map[string]lists.Organisation{},
		operations:     map[string]lists.Operation{},
		planOperations: map[string][]string{},
		keys:           map[string]map[string]lists.Key{},
	}
	if d.Plans != nil {
		for _, o := range d.Plans.Organisations {
			o.Weight = max(o.Weight, 1)
			index.organisations[o.Organisation] = o
		}
	}
	if d.Uses != nil {
		for _, o := range d.Uses.Operations {
			index.operations[o.Operation] = o
		}
		for _, g := range d.Uses.Plans {
			index.planOperations[g.Plan] = g.Operations
		}
	}
	if d.Keys != nil {
		for _, k := range d.Keys.Keys {
			index.addKey(k)
		}
	}
	return index
}

func (x *listIndex) addKey(k lists.Key) {
	if x.keys[k.Organisation] == nil {
		x.keys[k.Organisation] = map[string]lists.Key{}
	}
	x.keys[k.Organisation][k.SHA256] = k
}

// uses returns the operations that the organisation may use under its plan, by name.
func (x *listIndex) uses(organisation string) map[string]lists.Operation {
	all := map[string]lists.Operation{}
	for _, name := range x.planOperations[x.organisations[organisation].Plan] {
		all[name] = x.operations[name]
	}
	return all
}

func organisationNames(indexes ...*listIndex) []string {
	all := map[string]bool{}
	for _, index := range indexes {
		for name := range index.organisations {
			all[name] = true
		}
		for name := range index.keys {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// comparison collects the changes for one organisation.
type comparison struct {
	name    string
	before  *listIndex
	after   *listIndex
	changes []Change
}

func (c *comparison) add(k Kind, subject, before, after, note string) {
	c.changes = append(c.changes, Change{Organisation: c.name, Kind: k, Subject: subject, Before: before, After: after, Note: note})
}

func (c *comparison) compareMembership() {
	before, wasListed := c.before.organisations[c.name]
	after, isListed := c.after.organisations[c.name]
	switch {
	case !wasListed && isListed:
		c.add(Joins, "", "", fmt.Sprintf("plan %s, %s requests/s, burst %d", after.Plan, formatRate(after.Rate), after.Burst), "")
	case wasListed && !isListed:
		c.add(Leaves, "", "", "", "every request of it is refused")
	case wasListed && isListed:
		c.compareLimits(before, after)
	}
}

func (c *comparison) compareLimits(before, after lists.Organisation) {
	if before.Plan != after.Plan {
		c.add(Plan, "", before.Plan, after.Plan, "")
	}
	if before.Rate != after.Rate {
		c.add(Rate, "", formatRate(before.Rate)+" requests/s", formatRate(after.Rate)+" requests/s", direction(cmp.Compare(after.Rate, before.Rate)))
	}
	if before.Burst != after.Burst {
		c.add(Burst, "", strconv.Itoa(before.Burst), strconv.Itoa(after.Burst), direction(cmp.Compare(after.Burst, before.Burst)))
	}
	if before.Weight != after.Weight {
		c.add(Weight, "", strconv.Itoa(before.Weight), strconv.Itoa(after.Weight), direction(cmp.Compare(after.Weight, before.Weight)))
	}
}

func direction(order int) string {
	if order > 0 {
		return "up"
	}
	return "down"
}

func formatRate(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// compareKeys compares keys by hash: a new hash with an old id counts as one key withdrawn and another given.
func (c *comparison) compareKeys() {
	before, after := c.before.keys[c.name], c.after.keys[c.name]
	for _, hash := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[hash]; !ok {
			c.add(KeyWithdrawn, before[hash].ID, "", "", c.noteIfLast(after))
		}
	}
	for _, hash := range slices.Sorted(maps.Keys(after)) {
		if _, ok := before[hash]; !ok {
			c.add(KeyGiven, after[hash].ID, "", "", "")
		}
	}
}

func (c *comparison) noteIfLast(after map[string]lists.Key) string {
	if len(after) == 0 {
		return "it has no key left"
	}
	return ""
}

// compareOperations compares the operations that the organisation may use, unless it leaves: then it loses all of them anyway.
func (c *comparison) compareOperations() {
	if _, isListed := c.after.organisations[c.name]; !isListed {
		return
	}
	before, after := c.before.uses(c.name), c.after.uses(c.name)
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if a, ok := after[name]; ok {
			c.compareOperation(before[name], a)
		} else {
			c.add(Loses, name, "", "", "")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if _, ok := before[name]; !ok {
			c.add(Gains, name, "", "", "")
		}
	}
}

func (c *comparison) compareOperation(before, after lists.Operation) {
	if before.PriorityClass() != after.PriorityClass() {
		note := "shed later under overload"
		if after.PriorityClass() < before.PriorityClass() {
			note = "shed earlier under overload"
		}
		c.add(Priority, after.Operation, before.Priority, after.Priority, note)
	}
	if before.Idempotent != after.Idempotent {
		note := "runs at most once, lost answers are not repeated"
		if after.Idempotent {
			note = "may run again after a lost answer"
		}
		c.add(Idempotent, after.Operation, strconv.FormatBool(before.Idempotent), strconv.FormatBool(after.Idempotent), note)
	}
	if formatRoute(before) != formatRoute(after) {
		c.add(Route, after.Operation, formatRoute(before), formatRoute(after), "")
	}
	if before.Runs != after.Runs {
		c.add(Runs, after.Operation, formatRuns(before), formatRuns(after), "")
	}
}

func formatRoute(o lists.Operation) string { return o.Method + " /" + o.Service + o.Path }

func formatRuns(o lists.Operation) string {
	if o.Runs == 0 {
		return "default"
	}
	return strconv.Itoa(o.Runs)
}
