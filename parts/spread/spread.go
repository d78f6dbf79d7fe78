package spread

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
	"github.com/foxtailhook/foxtailhook/internal/fleet/spread"
)

// Core makes the decisions of one host; it must be used by one goroutine at a
// time.
//
// SetHosts sets the hosts of the fleet; Accepted and Rejected record whether the
// program put a fetched value in force. Hear and Answer apply digests, Tick
// handles what is due at the time. Accepted, Hear, Answer and Tick return Work.
// Standing says whether the host's values were confirmed as current.
type Core = spread.Core

// Config is the configuration of a core.
type Config = spread.Config

// Digest is what a host reports to a peer about itself and its versions.
type Digest = spread.Digest

// News is a host's own statement on whether it is leaving, relayed by other hosts.
type News = member.News

// Work is what the embedding program has to carry out.
type Work = spread.Work

// Read says what to read from the source of the values.
type Read = spread.Read

// The reads: nothing, the host list alone, or every value.
const (
	ReadNothing = spread.ReadNothing
	ReadHosts   = spread.ReadHosts
	ReadAll     = spread.ReadAll
)

// Source is a peer that has a newer version of a value.
type Source = spread.Source

// Archive keeps the values in force and the most recent changes to them; it must
// be used by one goroutine at a time.
//
// Store adds a value, Packet returns what a peer with an older version needs.
type Archive = spread.Archive

// Fetch asks a peer for a value.
type Fetch = spread.Fetch

// Packet carries a value, whole or as changes to the version that the receiver has; Open returns the value.
type Packet = spread.Packet

// Value is one published version of a value.
type Value = lists.Value

// Kind names one of the published values.
type Kind = lists.Kind

// The published values: the plans, uses, keys and hosts lists of foxtailhook.
const (
	KindPlans = lists.KindPlans
	KindUses  = lists.KindUses
	KindKeys  = lists.KindKeys
	KindHosts = lists.KindHosts
)

// Host is one host of the fleet.
type Host = lists.Host

// Standing says whether a host's values were confirmed as current.
type Standing = spread.Standing

// The standings: not yet confirmed since the start; confirmed; not yet confirmed
// since a pause of the process; no answer from a peer or the source for longer
// than Config.IsolationTime.
const (
	Starting = spread.Starting
	Serving  = spread.Serving
	Waking   = spread.Waking
	Isolated = spread.Isolated
)

// New returns a core without data that starts at the given time; rng varies its timing, so that hosts that start together
// don't act at the same times.
func New(c Config, rng *rand.Rand, now time.Time) *Core { return spread.New(c, rng, now) }

// Ranked returns an availability zone's hosts that aren't leaving, in the order in which they become readers of the source.
func Ranked(hosts []Host, zone string) []Host { return spread.Ranked(hosts, zone) }
