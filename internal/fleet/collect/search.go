package collect

import "time"

const (
	// SearchTTL is how long a host that did not reply to one of more than MinSearchWidth probes is skipped: long enough for the search to reach
	// the last hosts of a large fleet before it comes back to the first ones.
	SearchTTL = 10 * time.Second
	// MinSearchWidth is the number of hosts that are probed at first; it doubles up to maxSearchWidth.
	MinSearchWidth = 16
	maxSearchWidth = 128
	// searchAfter is the number of collectors in a row that don't reply before the next ones are probed. One or two may be lost at any time.
	searchAfter = 2
)

// Search says how many hosts a daemon should probe at once to find a collector that replies. Trying one after the other takes a timeout for each
// lost host, so a daemon that is cut off with a small part of the fleet would begin again with the first ones before it reached one in its part.
type Search struct {
	failed, width int
}

// Failed records that a collector did not reply, and returns how many of the next hosts should be probed, 0 for none.
func (s *Search) Failed() int {
	s.failed++
	if s.failed < searchAfter {
		return 0
	}
	s.width = min(max(2*s.width, MinSearchWidth), maxSearchWidth)
	return s.width
}

// Found records that a collector has replied.
func (s *Search) Found() { *s = Search{} }
