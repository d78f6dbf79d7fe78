package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Filter selects decisions; a zero field matches all.
type Filter struct {
	RequestID    string
	Organisation string
	Since        time.Time
	Until        time.Time
	// Refused excludes decisions with the outcome whole.
	Refused bool
}

// Matches reports whether the filter selects the decision.
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

// Found holds the decisions that matched, sorted by time across all logs.
type Found struct {
	Entries []Entry `json:"entries"`
	// Skipped is the number of lines that aren't JSON objects, such as one truncated by a crash.
	Skipped int `json:"skippedLines"`
}

// maxLineBytes limits one line of a log; a line with all faults of a list can be long.
const maxLineBytes = 4 << 20

// Add reads one log and keeps the decisions that match; the error says why reading ended early.
func (f *Found) Add(log io.Reader, filter Filter) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
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
