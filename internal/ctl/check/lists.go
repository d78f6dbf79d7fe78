package check

import (
	"fmt"

	"github.com/foxtailhook/foxtailhook/internal/ctl/draft"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Lists returns the faults of each list and, where both sides are sound, the warnings of one list against another.
func Lists(d *draft.Draft) Findings {
	var found Findings
	for k, faults := range d.Faults {
		for _, fault := range faults {
			found = append(found, finding(d, lists.Kind(k), Fault, fault.Place, fault.Text))
		}
	}
	c := &crossCheck{draft: d, found: found}
	c.plansAgainstUses()
	c.keysAgainstPlans()
	c.usesAgainstHosts()
	return c.found
}

func finding(d *draft.Draft, k lists.Kind, s Severity, place, text string) Finding {
	file := d.Files[k]
	return Finding{Severity: s, File: file.Name, Line: draft.Line(file.Raw, place), Place: place, Text: text}
}

// crossCheck looks for entries that another list contradicts. Each list is
// accepted by itself, so that a daemon takes a plan before what it may use;
// here the operator still has all of them at hand.
type crossCheck struct {
	draft *draft.Draft
	found Findings
}

func (c *crossCheck) warn(k lists.Kind, place, format string, args ...any) {
	c.found = append(c.found, finding(c.draft, k, Warning, place, fmt.Sprintf(format, args...)))
}

func (c *crossCheck) plansAgainstUses() {
	plans, uses := c.draft.Plans, c.draft.Uses
	if plans == nil || uses == nil {
		return
	}
	granted := map[string]bool{}
	for _, g := range uses.Plans {
		granted[g.Plan] = true
	}
	held := map[string]bool{}
	for i, o := range plans.Organisations {
		held[o.Plan] = true
		if !granted[o.Plan] {
			c.warn(lists.KindPlans, fmt.Sprintf("organisations[%d].plan", i), "uses names no plan %q: every request of %q would be refused", o.Plan, o.Organisation)
		}
	}
	for i, g := range uses.Plans {
		if !held[g.Plan] {
			c.warn(lists.KindUses, fmt.Sprintf("plans[%d].plan", i), "no organisation has the plan %q", g.Plan)
		}
	}
}

func (c *crossCheck) keysAgainstPlans() {
	plans, keys := c.draft.Plans, c.draft.Keys
	if plans == nil || keys == nil {
		return
	}
	known := map[string]bool{}
	for _, o := range plans.Organisations {
		known[o.Organisation] = true
	}
	holders := map[string]bool{}
	for i, k := range keys.Keys {
		holders[k.Organisation] = true
		if !known[k.Organisation] {
			c.warn(lists.KindKeys, fmt.Sprintf("keys[%d].organisation", i), "plans names no organisation %q: requests with key %q would be refused", k.Organisation, k.ID)
		}
	}
	for i, o := range plans.Organisations {
		if !holders[o.Organisation] {
			c.warn(lists.KindPlans, fmt.Sprintf("organisations[%d].organisation", i), "%q has no key and can send nothing", o.Organisation)
		}
	}
}

func (c *crossCheck) usesAgainstHosts() {
	uses, hosts := c.draft.Uses, c.draft.Hosts
	if uses == nil {
		return
	}
	c.operationsInPlans(uses)
	if hosts == nil {
		return
	}
	live := map[string]int{}
	for _, h := range hosts.Hosts {
		if !h.Leaving {
			live[h.Service]++
		}
	}
	for i, o := range uses.Operations {
		if live[o.Service] == 0 {
			c.warn(lists.KindUses, fmt.Sprintf("operations[%d].service", i), "no live host serves %q", o.Service)
		}
	}
}

func (c *crossCheck) operationsInPlans(uses *lists.Uses) {
	granted := map[string]bool{}
	for _, g := range uses.Plans {
		for _, name := range g.Operations {
			granted[name] = true
		}
	}
	for i, o := range uses.Operations {
		if !granted[o.Operation] {
			c.warn(lists.KindUses, fmt.Sprintf("operations[%d].operation", i), "no plan may use %q", o.Operation)
		}
	}
}
