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

// Of returns the changes from one set of lists to another, sorted by
// organisation; a list that is missing counts as empty.
func Of(before, after *draft.Draft) []Change {
	b, a := newSide(before), newSide(after)
	var all []Change
	for _, name := range names(b, a) {
		p := &pair{name: name, before: b, after: a}
		p.membership()
		p.keys()
		p.operations()
		all = append(all, p.changes...)
	}
	return all
}

// side is one set of lists, joined for look-ups by organisation.
type side struct {
	organisations map[string]lists.Organisation
	operations    map[string]lists.Operation
	grants        map[string][]string
	keys          map[string]map[string]lists.Key
}

func newSide(d *draft.Draft) *side {
	s := &side{
		organisations: map[string]lists.Organisation{},
		operations:    map[string]lists.Operation{},
		grants:        map[string][]string{},
		keys:          map[string]map[string]lists.Key{},
	}
	if d.Plans != nil {
		for _, o := range d.Plans.Organisations {
			o.Weight = max(o.Weight, 1)
			s.organisations[o.Organisation] = o
		}
	}
	if d.Uses != nil {
		for _, o := range d.Uses.Operations {
			s.operations[o.Operation] = o
		}
		for _, g := range d.Uses.Plans {
			s.grants[g.Plan] = g.Operations
		}
	}
	if d.Keys != nil {
		for _, k := range d.Keys.Keys {
			s.addKey(k)
		}
	}
	return s
}

func (s *side) addKey(k lists.Key) {
	if s.keys[k.Organisation] == nil {
		s.keys[k.Organisation] = map[string]lists.Key{}
	}
	s.keys[k.Organisation][k.SHA256] = k
}

// uses returns the operations that the organisation's plan may use, by name.
func (s *side) uses(organisation string) map[string]lists.Operation {
	all := map[string]lists.Operation{}
	for _, name := range s.grants[s.organisations[organisation].Plan] {
		all[name] = s.operations[name]
	}
	return all
}

func names(sides ...*side) []string {
	all := map[string]bool{}
	for _, s := range sides {
		for name := range s.organisations {
			all[name] = true
		}
		for name := range s.keys {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// pair is one organisation on both sides.
type pair struct {
	name    string
	before  *side
	after   *side
	changes []Change
}

func (p *pair) add(k Kind, subject, before, after, note string) {
	p.changes = append(p.changes, Change{Organisation: p.name, Kind: k, Subject: subject, Before: before, After: after, Note: note})
}

func (p *pair) membership() {
	b, was := p.before.organisations[p.name]
	a, is := p.after.organisations[p.name]
	switch {
	case !was && is:
		p.add(Joins, "", "", fmt.Sprintf("plan %s, %s requests/s, burst %d", a.Plan, number(a.Rate), a.Burst), "")
	case was && !is:
		p.add(Leaves, "", "", "", "every request of it is refused")
	case was && is:
		p.limits(b, a)
	}
}

func (p *pair) limits(b, a lists.Organisation) {
	if b.Plan != a.Plan {
		p.add(Plan, "", b.Plan, a.Plan, "")
	}
	if b.Rate != a.Rate {
		p.add(Rate, "", number(b.Rate)+" requests/s", number(a.Rate)+" requests/s", direction(cmp.Compare(a.Rate, b.Rate)))
	}
	if b.Burst != a.Burst {
		p.add(Burst, "", strconv.Itoa(b.Burst), strconv.Itoa(a.Burst), direction(cmp.Compare(a.Burst, b.Burst)))
	}
	if b.Weight != a.Weight {
		p.add(Weight, "", strconv.Itoa(b.Weight), strconv.Itoa(a.Weight), direction(cmp.Compare(a.Weight, b.Weight)))
	}
}

func direction(order int) string {
	if order > 0 {
		return "up"
	}
	return "down"
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// keys compares by hash: a new hash under an old id is a key withdrawn and another given.
func (p *pair) keys() {
	before, after := p.before.keys[p.name], p.after.keys[p.name]
	for _, hash := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[hash]; !ok {
			p.add(Withdrawn, before[hash].ID, "", "", p.lastKey(after))
		}
	}
	for _, hash := range slices.Sorted(maps.Keys(after)) {
		if _, ok := before[hash]; !ok {
			p.add(Given, after[hash].ID, "", "", "")
		}
	}
}

func (p *pair) lastKey(after map[string]lists.Key) string {
	if len(after) == 0 {
		return "it has no key left"
	}
	return ""
}

// operations compares what the organisation may use; one that leaves loses all of it anyway.
func (p *pair) operations() {
	if _, stays := p.after.organisations[p.name]; !stays {
		return
	}
	before, after := p.before.uses(p.name), p.after.uses(p.name)
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if a, ok := after[name]; ok {
			p.operation(before[name], a)
		} else {
			p.add(Loses, name, "", "", "")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if _, ok := before[name]; !ok {
			p.add(Gains, name, "", "", "")
		}
	}
}

func (p *pair) operation(b, a lists.Operation) {
	if b.PriorityClass() != a.PriorityClass() {
		note := "shed later under overload"
		if a.PriorityClass() < b.PriorityClass() {
			note = "shed earlier under overload"
		}
		p.add(Priority, a.Operation, b.Priority, a.Priority, note)
	}
	if b.Idempotent != a.Idempotent {
		note := "runs at most once, lost answers are not repeated"
		if a.Idempotent {
			note = "may run again after a lost answer"
		}
		p.add(Idempotent, a.Operation, strconv.FormatBool(b.Idempotent), strconv.FormatBool(a.Idempotent), note)
	}
	if route(b) != route(a) {
		p.add(Route, a.Operation, route(b), route(a), "")
	}
	if b.Runs != a.Runs {
		p.add(Runs, a.Operation, runs(b), runs(a), "")
	}
}

func route(o lists.Operation) string { return o.Method + " /" + o.Service + o.Path }

func runs(o lists.Operation) string {
	if o.Runs == 0 {
		return "default"
	}
	return strconv.Itoa(o.Runs)
}
