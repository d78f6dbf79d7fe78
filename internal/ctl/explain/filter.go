package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Filter says which decisions are looked for; a zero field lets all pass.
type Filter struct {
	RequestID    string
	Organisation string
	Since        time.Time
	Until        time.Time
	// Refused leaves out what ended whole.
	Refused bool
}

// Matches reports whether the decision is looked for.
func (f Filter) Matches(e Entry) bool {
	switch {
	case f.RequestID != "" && e.RequestID != f.RequestID:
		return false
	case f.Organisation != "" && e.Organisation != f.Organisation:
		return false
	case !f.Since.IsZero() && e.Time.Before(f.Since):
		return false
	case !f.Until.IsZero() && e.Time.After(f.Until):
		return false
	case f.Refused && e.Outcome == wholeOutcome:
		return false
	default:
		return true
	}
}

// Found is the decisions that matched, in order of time over all logs.
type Found struct {
	Entries []Entry `json:"entries"`
	// Skipped counts lines that are no JSON object, such as one cut off by a crash.
	Skipped int `json:"skippedLines"`
}

// maxLine bounds one line of a log in bytes; a list's faults can make it long.
const maxLine = 4 << 20

// Add reads one log and keeps the decisions that match; the error tells why reading ended early.
func (f *Found) Add(log io.Reader, filter Filter) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e Entry
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			f.Skipped++
			continue
		}
		if e.Decision != "" && filter.Matches(e) {
			f.Entries = append(f.Entries, e)
		}
	}
	slices.SortStableFunc(f.Entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return errors.Wrap(lines.Err(), "read log")
}
