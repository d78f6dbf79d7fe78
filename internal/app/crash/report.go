package crash

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
)

// report reports a crash to the daemons beside instances that may be sent the same content.
type report struct {
	Crash quarantine.Crash `msgpack:"crash"`
	// Receivers has the daemons to which the receiver passes the report on, within Wait.
	Receivers []netip.AddrPort `msgpack:"receivers"`
	Wait      time.Duration    `msgpack:"wait"`
}

// confirmation says how many daemons have a report, the receiver included.
type confirmation struct {
	Reached int `msgpack:"reached"`
}

// question asks for the crashes that a daemon knows of, unless they are those with the digest.
type question struct {
	Digest uint64 `msgpack:"digest"`
}

// entries is the reply to a question.
type entries struct {
	Entries []quarantine.Entry `msgpack:"entries"`
}

const (
	// maxSuspects bounds the contents that the report of one crash names.
	maxSuspects = 512
	// MaxLogged bounds the requests or contents that one log line names.
	MaxLogged = 20
)

// Describe returns what a log line says of the suspects.
func Describe(suspects []Suspect) []string {
	var described []string
	for i := range suspects[:min(len(suspects), MaxLogged)] {
		described = append(described, suspects[i].RequestID+" "+suspects[i].Key.String())
	}
	return described
}

// reportsOf returns the reports on one crash: one for each salt, since the salt may have changed while requests were at work.
func reportsOf(suspects []Suspect) []quarantine.Crash {
	var crashes []quarantine.Crash
	id := quarantine.CrashID(rand.Uint64())
	for _, s := range suspects[:min(len(suspects), maxSuspects)] {
		i := slices.IndexFunc(crashes, func(c quarantine.Crash) bool { return c.Salt == s.Salt })
		if i < 0 {
			i = len(crashes)
			crashes = append(crashes, quarantine.Crash{ID: id, Salt: s.Salt, Suspects: map[string][]quarantine.Fingerprint{}})
		}
		known := crashes[i].Suspects[s.Key.Route]
		if !slices.Contains(known, s.Key.Fingerprint) {
			crashes[i].Suspects[s.Key.Route] = append(known, s.Key.Fingerprint)
		}
	}
	return crashes
}
