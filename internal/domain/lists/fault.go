package lists

import (
	"fmt"
	"strings"
)

// Fault is one error in a published value and its position.
type Fault struct {
	// Place is the path to the field, such as organisations[2].rate, or "line 4" if the value can't be parsed.
	Place string `json:"place"`
	Text  string `json:"text"`
}

// Faults holds all faults of one value; its error text lists them all.
type Faults []Fault

// Error returns the faults on one line, separated by semicolons.
func (f Faults) Error() string {
	parts := make([]string, len(f))
	for i, fault := range f {
		parts[i] = fault.Place + ": " + fault.Text
	}
	return strings.Join(parts, "; ")
}

// faultList collects the faults of a value during its validation.
type faultList struct {
	faults Faults
}

// entryRef is the position of the entry that is being validated.
type entryRef struct {
	list  *faultList
	array string
	index int
}

func (f *faultList) entry(array string, index int) entryRef {
	return entryRef{list: f, array: array, index: index}
}

func (r entryRef) addFault(field, format string, args ...any) {
	path := fmt.Sprintf("%s[%d].%s", r.array, r.index, field)
	r.list.faults = append(r.list.faults, Fault{Place: path, Text: fmt.Sprintf(format, args...)})
}

// checkName adds a fault if the value can't be used as a name.
func (r entryRef) checkName(field, value string) {
	if value == "" || len(value) > maxNameLength || strings.ContainsAny(value, " /\t\r\n\"") {
		r.addFault(field, "must be 1 to %d characters without blanks, quotes or slashes, is %q", maxNameLength, value)
	}
}
