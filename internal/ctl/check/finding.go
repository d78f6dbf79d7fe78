package check

import (
	"fmt"
	"slices"
)

//go:generate stringer -type=Severity -linecomment

// Severity says whether a daemon would reject the list or the settings with the finding.
type Severity uint8

const (
	// Fault means that a daemon rejects the list, or does not start with the settings.
	Fault Severity = iota // fault
	// Warning means that daemons accept the lists, although they are probably not what was intended.
	Warning // warning
)

// MarshalText returns the severity's name.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Finding is one fault or warning, with its place.
type Finding struct {
	Severity Severity `json:"severity"`
	// File is the name of the file or "settings".
	File string `json:"file"`
	// Line counts from 1; 0 means that the line is unknown.
	Line int `json:"line,omitempty"`
	// Place is the path to the entry, such as organisations[2].rate, or the flag.
	Place string `json:"place"`
	Text  string `json:"text"`
}

// String returns the finding as one line in the form FILE:LINE, from which editors open the file.
func (f Finding) String() string {
	if f.Line > 0 {
		return fmt.Sprintf("%s:%d: %s: %s: %s", f.File, f.Line, f.Severity, f.Place, f.Text)
	}
	return fmt.Sprintf("%s: %s: %s: %s", f.File, f.Severity, f.Place, f.Text)
}

// Findings are all faults and warnings of one check.
type Findings []Finding

// Faulty reports whether one of the findings is a Fault.
func (f Findings) Faulty() bool {
	return slices.ContainsFunc(f, func(e Finding) bool { return e.Severity == Fault })
}
