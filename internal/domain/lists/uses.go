package lists

import (
	"strings"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Operation is one kind of request that a service handles.
type Operation struct {
	Operation string `json:"operation"`
	Service   string `json:"service"`
	Method    string `json:"method"`
	// Path is a prefix of the request's path, without the service's name.
	Path       string `json:"path"`
	Priority   string `json:"priority"`
	Idempotent bool   `json:"idempotent"`
	// Runs limits the upstream executions for one request and all its sub-calls; 0 means the daemon's default.
	Runs int `json:"runs,omitempty"`
}

// Grant lists the operations that a plan allows.
type Grant struct {
	Plan       string   `json:"plan"`
	Operations []string `json:"operations"`
}

// Uses is the operators' list of operations and of the plans that allow them.
type Uses struct {
	Operations []Operation `json:"operations"`
	Plans      []Grant     `json:"plans"`
}

// maxRuns limits Operation.Runs.
const maxRuns = 1 << 16

// PriorityClass returns the parsed priority; it can't fail for a validated list.
func (o *Operation) PriorityClass() call.Priority {
	priority, _ := call.ParsePriority(o.Priority)
	return priority
}

func (u *Uses) check(f *faultList) {
	names := u.checkOperations(f)
	seen := map[string]int{}
	for i, grant := range u.Plans {
		entry := f.entry("plans", i)
		entry.checkName("plan", grant.Plan)
		if first, dup := seen[grant.Plan]; dup {
			entry.addFault("plan", "duplicate of plans[%d] (%q)", first, grant.Plan)
		}
		seen[grant.Plan] = i
		for _, name := range grant.Operations {
			if _, ok := names[name]; !ok {
				entry.addFault("operations", "no operation is called %q", name)
			}
		}
	}
}

// checkOperations validates the operations and returns their indexes by name.
func (u *Uses) checkOperations(f *faultList) map[string]int {
	names := map[string]int{}
	routes := map[[3]string]int{}
	for i, o := range u.Operations {
		entry := f.entry("operations", i)
		entry.checkName("operation", o.Operation)
		entry.checkName("service", o.Service)
		if first, dup := names[o.Operation]; dup {
			entry.addFault("operation", "duplicate of operations[%d] (%q)", first, o.Operation)
		}
		names[o.Operation] = i
		route := [3]string{o.Service, o.Method, o.Path}
		if first, dup := routes[route]; dup {
			entry.addFault("path", "same service, method and path as operations[%d]", first)
		}
		routes[route] = i
		if o.Method == "" || strings.ToUpper(o.Method) != o.Method {
			entry.addFault("method", "must be an HTTP method in capitals, is %q", o.Method)
		}
		if !strings.HasPrefix(o.Path, "/") {
			entry.addFault("path", "must begin with /, is %q", o.Path)
		}
		if _, ok := call.ParsePriority(o.Priority); !ok {
			entry.addFault("priority", "must be background, standard or interactive, is %q", o.Priority)
		}
		if o.Runs < 0 || o.Runs > maxRuns {
			entry.addFault("runs", "must be 0 (default) to %d, is %d", maxRuns, o.Runs)
		}
	}
	return names
}
