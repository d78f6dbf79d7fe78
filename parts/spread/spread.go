package spread

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
	"github.com/foxtailhook/foxtailhook/internal/fleet/spread"
)

// Core decides for one host; it belongs to one goroutine.
//
// SetHosts tells it the fleet, Accepted and Rejected what became of a value.
// Hear and Answer take digests, Tick looks at the clock; all return Work.
// Standing tells whether what the host holds was confirmed.
type Core = spread.Core

// Config is what a core is told at its start.
type Config = spread.Config

// Digest is what a host tells another of its versions.
type Digest = spread.Digest

// News is a host's own word on whether it is leaving, passed on by others.
type News = member.News

// Work is what the program is to carry out.
type Work = spread.Work

// Read tells what to read at the source of the values.
type Read = spread.Read

// What Work asks to read: nothing, the hosts list alone, or every value.
const (
	ReadNothing = spread.ReadNothing
	ReadHosts   = spread.ReadHosts
	ReadAll     = spread.ReadAll
)

// Source is a peer that has a newer version of a value.
type Source = spread.Source

// Archive keeps values and their last changes; it belongs to one goroutine.
//
// Store takes over a value, Packet makes what a peer with an older version needs.
type Archive = spread.Archive

// Fetch asks a peer for a value.
type Fetch = spread.Fetch

// Packet carries a value, whole or as changes to what the receiver has; Open returns it.
type Packet = spread.Packet

// Value is one version of one value.
type Value = lists.Value

// Kind names one of the values.
type Kind = lists.Kind

// The values, which the operators and the platform of foxtailhook publish.
const (
	KindPlans = lists.KindPlans
	KindUses  = lists.KindUses
	KindKeys  = lists.KindKeys
	KindHosts = lists.KindHosts
)

// Host is one host of the fleet.
type Host = lists.Host

// Standing tells whether a host has reason to believe that what it holds is current.
type Standing = spread.Standing

// The standings: still asking after the start; confirmed; paused and not asked
// since; without an answer from anyone for a long time.
const (
	Starting = spread.Starting
	Serving  = spread.Serving
	Waking   = spread.Waking
	Isolated = spread.Isolated
)

// New returns a core that starts at the given time and knows nothing; chance spreads hosts that start together.
func New(c Config, chance *rand.Rand, now time.Time) *Core { return spread.New(c, chance, now) }

// Ranked returns an availability zone's hosts in the order in which they read the source.
func Ranked(hosts []Host, zone string) []Host { return spread.Ranked(hosts, zone) }
