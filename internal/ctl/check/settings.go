package check

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/foxtailhook/foxtailhook/internal/app/settings"
)

const settingsName = "settings"

// Settings returns the faults of a daemon's environment file, one NAME=VALUE a
// line as service managers read it, with the arguments of its command line; a
// nil file is left out.
func Settings(name string, env []byte, args []string) Findings {
	e := newEnvironment(name, env)
	_, err := settings.Parse(append(e.args, args...), io.Discard)
	var problems settings.Problems
	if errors.As(err, &problems) {
		for _, p := range problems {
			e.found = append(e.found, e.locate(p))
		}
	}
	return e.found
}

// environment turns the lines of a file into the flags that they stand for.
type environment struct {
	name  string
	lines map[string]int
	args  []string
	found Findings
}

func newEnvironment(name string, raw []byte) *environment {
	e := &environment{name: name, lines: map[string]int{}}
	flags := map[string]string{}
	for _, f := range settings.Flags() {
		flags[f.Env] = f.Name
	}
	for i, line := range strings.Split(string(raw), "\n") {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			e.take(i+1, line, flags)
		}
	}
	return e
}

func (e *environment) take(number int, line string, flags map[string]string) {
	variable, value, ok := strings.Cut(line, "=")
	if !ok {
		e.fault(number, line, "is not NAME=VALUE")
		return
	}
	if !strings.HasPrefix(variable, settings.EnvPrefix+"_") {
		return
	}
	flag, ok := flags[variable]
	if !ok {
		e.fault(number, variable, "is no setting of the daemon")
		return
	}
	if first, dup := e.lines[flag]; dup {
		e.fault(number, variable, fmt.Sprintf("is set on line %d too", first))
		return
	}
	e.lines[flag] = number
	e.args = append(e.args, "-"+flag+"="+strings.Trim(value, `"'`))
}

func (e *environment) fault(line int, place, text string) {
	e.found = append(e.found, Finding{Severity: Fault, File: e.name, Line: line, Place: place, Text: text})
}

// locate gives a problem the line of the file that set the flag, where one did.
func (e *environment) locate(problem string) Finding {
	place, text, ok := strings.Cut(problem, " ")
	place = strings.TrimSuffix(place, ":")
	if !ok || !strings.HasPrefix(place, "-") {
		return Finding{Severity: Fault, File: settingsName, Place: settingsName, Text: problem}
	}
	if line := e.lines[strings.TrimPrefix(place, "-")]; line > 0 {
		return Finding{Severity: Fault, File: e.name, Line: line, Place: place, Text: text}
	}
	return Finding{Severity: Fault, File: settingsName, Place: place, Text: text}
}
