package lists

import (
	"strings"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Operation is one kind of request that a service answers.
type Operation struct {
	Operation string `json:"operation"`
	Service   string `json:"service"`
	Method    string `json:"method"`
	// Path is the prefix that the request's path has behind the service's name.
	Path       string `json:"path"`
	Priority   string `json:"priority"`
	Idempotent bool   `json:"idempotent"`
	// Runs bounds the upstream executions for one request over its whole call chain; 0 takes the daemon's default.
	Runs int `json:"runs,omitempty"`
}

// Grant is what one plan may use.
type Grant struct {
	Plan       string   `json:"plan"`
	Operations []string `json:"operations"`
}

// Uses is the operators' list of operations and of the plans that may use them.
type Uses struct {
	Operations []Operation `json:"operations"`
	Plans      []Grant     `json:"plans"`
}

const maxRuns = 1 << 16

// PriorityClass returns the parsed priority; a checked list holds no unknown name.
func (o *Operation) PriorityClass() call.Priority {
	p, _ := call.ParsePriority(o.Priority)
	return p
}

func (u *Uses) check(f *faults) {
	names := u.checkOperations(f)
	seen := map[string]int{}
	for i, g := range u.Plans {
		at := f.at("plans", i)
		at.name("plan", g.Plan)
		if first, dup := seen[g.Plan]; dup {
			at.add("plan", "duplicate of plans[%d] (%q)", first, g.Plan)
		}
		seen[g.Plan] = i
		for _, name := range g.Operations {
			if _, ok := names[name]; !ok {
				at.add("operations", "no operation is called %q", name)
			}
		}
	}
}

func (u *Uses) checkOperations(f *faults) map[string]int {
	names := map[string]int{}
	routes := map[[3]string]int{}
	for i, o := range u.Operations {
		at := f.at("operations", i)
		at.name("operation", o.Operation)
		at.name("service", o.Service)
		if first, dup := names[o.Operation]; dup {
			at.add("operation", "duplicate of operations[%d] (%q)", first, o.Operation)
		}
		names[o.Operation] = i
		route := [3]string{o.Service, o.Method, o.Path}
		if first, dup := routes[route]; dup {
			at.add("path", "same service, method and path as operations[%d]", first)
		}
		routes[route] = i
		if o.Method == "" || strings.ToUpper(o.Method) != o.Method {
			at.add("method", "must be an HTTP method in capitals, is %q", o.Method)
		}
		if !strings.HasPrefix(o.Path, "/") {
			at.add("path", "must begin with /, is %q", o.Path)
		}
		if _, ok := call.ParsePriority(o.Priority); !ok {
			at.add("priority", "must be background, standard or interactive, is %q", o.Priority)
		}
		if o.Runs < 0 || o.Runs > maxRuns {
			at.add("runs", "must be 0 (default) to %d, is %d", maxRuns, o.Runs)
		}
	}
	return names
}
