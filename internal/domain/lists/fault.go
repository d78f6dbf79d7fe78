package lists

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a published value, with its place.
type Fault struct {
	// Place is the path to the entry, such as organisations[2].rate, or "line 4" where the value is not readable.
	Place string `json:"place"`
	Text  string `json:"text"`
}

// Faults is every fault of one value; as an error it lists them all.
type Faults []Fault

// Error returns the faults on one line, separated by semicolons.
func (f Faults) Error() string {
	parts := make([]string, len(f))
	for i, e := range f {
		parts[i] = e.Place + ": " + e.Text
	}
	return strings.Join(parts, "; ")
}

type faults struct {
	list Faults
}

type place struct {
	faults *faults
	array  string
	index  int
}

func (f *faults) at(array string, index int) place {
	return place{faults: f, array: array, index: index}
}

func (p place) add(field, format string, args ...any) {
	path := fmt.Sprintf("%s[%d].%s", p.array, p.index, field)
	p.faults.list = append(p.faults.list, Fault{Place: path, Text: fmt.Sprintf(format, args...)})
}

func (p place) name(field, value string) {
	if value == "" || len(value) > maxName || strings.ContainsAny(value, " /\t\r\n\"") {
		p.add(field, "must be 1 to %d characters without blanks, quotes or slashes, is %q", maxName, value)
	}
}
