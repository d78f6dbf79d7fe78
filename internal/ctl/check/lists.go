package check

import (
	"fmt"

	"github.com/foxtailhook/foxtailhook/internal/ctl/draft"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Lists returns the faults of each list and, for each two valid lists, warnings where one contradicts the other.
func Lists(d *draft.Draft) Findings {
	var found Findings
	for k, faults := range d.Faults {
		for _, fault := range faults {
			found = append(found, newFinding(d, lists.Kind(k), Fault, fault.Place, fault.Text))
		}
	}
	c := &crossCheck{draft: d, found: found}
	c.plansAgainstUses()
	c.keysAgainstPlans()
	c.usesAgainstHosts()
	return c.found
}

func newFinding(d *draft.Draft, k lists.Kind, s Severity, place, text string) Finding {
	file := d.Files[k]
	return Finding{Severity: s, File: file.Name, Line: draft.Line(file.Raw, place), Place: place, Text: text}
}

// crossCheck finds entries that another list contradicts. Daemons accept each
// list by itself, since lists arrive in any order: plans, say, before the uses
// that grant operations to them. Before publication all lists are available.
type crossCheck struct {
	draft *draft.Draft
	found Findings
}

func (c *crossCheck) warn(k lists.Kind, place, format string, args ...any) {
	c.found = append(c.found, newFinding(c.draft, k, Warning, place, fmt.Sprintf(format, args...)))
}

func (c *crossCheck) plansAgainstUses() {
	plans, uses := c.draft.Plans, c.draft.Uses
	if plans == nil || uses == nil {
		return
	}
	grantedPlans := map[string]bool{}
	for _, g := range uses.Plans {
		grantedPlans[g.Plan] = true
	}
	usedPlans := map[string]bool{}
	for i, o := range plans.Organisations {
		usedPlans[o.Plan] = true
		if !grantedPlans[o.Plan] {
			c.warn(lists.KindPlans, fmt.Sprintf("organisations[%d].plan", i), "uses names no plan %q: every request of %q would be refused", o.Plan, o.Organisation)
		}
	}
	for i, g := range uses.Plans {
		if !usedPlans[g.Plan] {
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
	withKey := map[string]bool{}
	for i, k := range keys.Keys {
		withKey[k.Organisation] = true
		if !known[k.Organisation] {
			c.warn(lists.KindKeys, fmt.Sprintf("keys[%d].organisation", i), "plans names no organisation %q: requests with key %q would be refused", k.Organisation, k.ID)
		}
	}
	for i, o := range plans.Organisations {
		if !withKey[o.Organisation] {
			c.warn(lists.KindPlans, fmt.Sprintf("organisations[%d].organisation", i), "%q has no key and can send nothing", o.Organisation)
		}
	}
}

func (c *crossCheck) usesAgainstHosts() {
	uses, hosts := c.draft.Uses, c.draft.Hosts
	if uses == nil {
		return
	}
	c.operationsWithoutPlan(uses)
	if hosts == nil {
		return
	}
	liveHosts := map[string]int{}
	for _, h := range hosts.Hosts {
		if !h.Leaving {
			liveHosts[h.Service]++
		}
	}
	for i, o := range uses.Operations {
		if liveHosts[o.Service] == 0 {
			c.warn(lists.KindUses, fmt.Sprintf("operations[%d].service", i), "no live host serves %q", o.Service)
		}
	}
}

func (c *crossCheck) operationsWithoutPlan(uses *lists.Uses) {
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
