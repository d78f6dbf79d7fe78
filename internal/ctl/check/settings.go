package check

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/foxtailhook/foxtailhook/internal/app/settings"
)

// settingsSource is the file name of findings that no line of the environment file causes.
const settingsSource = "settings"

// Settings returns the faults of a daemon's environment file, which has one
// NAME=VALUE a line as for service managers, combined with the arguments of its
// command line; without a file, env is nil.
func Settings(name string, env []byte, args []string) Findings {
	e := newEnvironment(name, env)
	_, err := settings.Parse(append(e.args, args...), io.Discard)
	var problems settings.Problems
	if errors.As(err, &problems) {
		for _, p := range problems {
			e.found = append(e.found, e.findingOf(p))
		}
	}
	return e.found
}

// environment converts the lines of an environment file to the flags that they set.
type environment struct {
	name   string
	lineOf map[string]int
	args   []string
	found  Findings
}

func newEnvironment(name string, raw []byte) *environment {
	e := &environment{name: name, lineOf: map[string]int{}}
	flags := map[string]string{}
	for _, f := range settings.Flags() {
		flags[f.Env] = f.Name
	}
	for i, line := range strings.Split(string(raw), "\n") {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			e.parseLine(i+1, line, flags)
		}
	}
	return e
}

func (e *environment) parseLine(number int, line string, flags map[string]string) {
	variable, value, ok := strings.Cut(line, "=")
	if !ok {
		e.addFault(number, line, "is not NAME=VALUE")
		return
	}
	if !strings.HasPrefix(variable, settings.EnvPrefix+"_") {
		return
	}
	flag, ok := flags[variable]
	if !ok {
		e.addFault(number, variable, "is no setting of the daemon")
		return
	}
	if first, duplicate := e.lineOf[flag]; duplicate {
		e.addFault(number, variable, fmt.Sprintf("is set on line %d too", first))
		return
	}
	e.lineOf[flag] = number
	e.args = append(e.args, "-"+flag+"="+strings.Trim(value, `"'`))
}

func (e *environment) addFault(line int, place, text string) {
	e.found = append(e.found, Finding{Severity: Fault, File: e.name, Line: line, Place: place, Text: text})
}

// findingOf converts a problem to a finding, with the line of the environment file if that set the flag.
func (e *environment) findingOf(problem string) Finding {
	place, text, ok := strings.Cut(problem, " ")
	place = strings.TrimSuffix(place, ":")
	if !ok || !strings.HasPrefix(place, "-") {
		return Finding{Severity: Fault, File: settingsSource, Place: settingsSource, Text: problem}
	}
	if line := e.lineOf[strings.TrimPrefix(place, "-")]; line > 0 {
		return Finding{Severity: Fault, File: e.name, Line: line, Place: place, Text: text}
	}
	return Finding{Severity: Fault, File: settingsSource, Place: place, Text: text}
}
