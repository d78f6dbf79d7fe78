package bootstrap

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

// Announcement says that a daemon has what is published up to a version and a revision.
type Announcement struct {
	// Root is the daemon that began to announce; the tree along which announcements are passed on starts there.
	Root netip.Addr `msgpack:"root"`
	// Source is the daemon from which it can be fetched.
	Source netip.AddrPort `msgpack:"source"`
	// Places are the lost daemons whose places in the tree the receiver takes; none if it takes its own.
	Places []netip.Addr `msgpack:"places"`
	// Version is that of the configuration, Revision that of the instances.
	Version  uint64 `msgpack:"version"`
	Revision uint64 `msgpack:"revision"`
}

// Tree says to which hosts a host passes on what the root announces.
type Tree interface {
	Children(root, host netip.Addr) []netip.Addr
}

// Daemon is what an announcer needs of its daemon.
type Daemon interface {
	// Has reports whether the daemon has what is announced.
	Has(announced Announcement) bool
	// FetchAnnounced fetches what the daemon at the address has announced.
	FetchAnnounced(ctx context.Context, from netip.AddrPort)
	// Tree returns the tree of the listed hosts.
	Tree() Tree
	// SendAnnouncement sends an announcement to the daemon on a host; an error means that it may not have arrived.
	SendAnnouncement(ctx context.Context, to netip.Addr, announced Announcement) error
}

const (
	// sendTimeout bounds the wait for one daemon to confirm an announcement, which it does before it fetches anything. Each lost daemon delays those
	// behind it by this time; one that is only slow is told twice.
	sendTimeout = 200 * time.Millisecond
	// announcedFetchTimeout bounds the fetch of what is announced: a daemon sends a complete copy to all its children at a time.
	announcedFetchTimeout = time.Second
	// maxSends is the maximum number of announcements on their way from one daemon at a time.
	maxSends = 16
	// maxReceived is the maximum number of announcements that one daemon passes on at a time: for each seed and a few readers, those for its own
	// place and for the places of lost daemons.
	maxReceived = 16
	// announceInterval is the shortest time between two announcements that one daemon begins.
	announceInterval = time.Second
)

// Announcer tells the daemons of a fleet, along a tree, that one of them has what is published. Each fetches it from the daemon that told it,
// so that no daemon sends more than a few copies, in a fleet of any size.
type Announcer struct {
	daemon Daemon
	self   netip.AddrPort
	slots  chan struct{}
	// fetching has room for one fetch, so that announcements from several roots cause one fetch.
	fetching chan struct{}
	received chan struct{}

	mu          sync.Mutex
	announcedAt time.Time
}

// NewAnnouncer returns the announcer of the daemon at the address.
func NewAnnouncer(daemon Daemon, self netip.AddrPort) *Announcer {
	return &Announcer{daemon: daemon, self: self, slots: make(chan struct{}, maxSends), fetching: make(chan struct{}, 1), received: make(chan struct{}, maxReceived)}
}

// Announce tells all daemons that this one has what is published, at most once per announceInterval; false means that it was too early.
func (a *Announcer) Announce(ctx context.Context, version, revision uint64, now time.Time) bool {
	if !a.due(now) {
		return false
	}
	a.passOn(ctx, []netip.Addr{a.self.Addr()}, Announcement{Root: a.self.Addr(), Source: a.self, Version: version, Revision: revision})
	return true
}

func (a *Announcer) due(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.announcedAt) < announceInterval {
		return false
	}
	a.announcedAt = now
	return true
}

// Receive fetches what is announced, unless this daemon has it, and passes the announcement on. Beyond maxReceived announcements at a time it
// drops them: daemons that still wait ask the seeds again.
func (a *Announcer) Receive(ctx context.Context, announced Announcement) {
	select {
	case a.received <- struct{}{}:
	default:
		return
	}
	defer func() { <-a.received }()
	if a.fetch(ctx, announced) {
		announced.Source = a.self
	}
	places := announced.Places
	if len(places) == 0 {
		places = []netip.Addr{a.self.Addr()}
	}
	announced.Places = nil
	a.passOn(ctx, places, announced)
}

// fetch reports whether this daemon has what is announced after fetching it.
func (a *Announcer) fetch(ctx context.Context, announced Announcement) bool {
	if !acquire(ctx, a.fetching) {
		return false
	}
	defer func() { <-a.fetching }()
	if !a.daemon.Has(announced) {
		ctx, cancel := context.WithTimeout(ctx, announcedFetchTimeout)
		defer cancel()
		a.daemon.FetchAnnounced(ctx, announced.Source)
	}
	return a.daemon.Has(announced)
}

// passOn sends the announcement to the daemons to which those in the places pass it on. The place of a daemon that doesn't confirm is taken by
// one that did, so that a lost daemon doesn't keep the announcement from those behind it. This one takes it only if nobody else can: where many
// daemons are lost it would otherwise send copies to a large part of the fleet.
func (a *Announcer) passOn(ctx context.Context, places []netip.Addr, announced Announcement) {
	var helpers []netip.Addr
	for len(places) > 0 && ctx.Err() == nil {
		var children []netip.Addr
		for _, place := range places {
			children = append(children, a.daemon.Tree().Children(announced.Root, place)...)
		}
		confirmed, lost := a.sendAll(ctx, children, announced)
		helpers = append(helpers, confirmed...)
		places = a.delegate(ctx, helpers, lost, announced)
	}
}

// delegate asks the helpers to take the places of lost daemons, and returns those that nobody has taken.
func (a *Announcer) delegate(ctx context.Context, helpers, lost []netip.Addr, announced Announcement) []netip.Addr {
	if len(helpers) == 0 {
		return lost
	}
	shares := make([][]netip.Addr, len(helpers))
	for i, place := range lost {
		shares[i%len(helpers)] = append(shares[i%len(helpers)], place)
	}
	taken := make([]bool, len(helpers))
	var sends sync.WaitGroup
	for i, helper := range helpers[:min(len(lost), len(helpers))] {
		sends.Go(func() {
			announced := announced
			announced.Places = shares[i]
			taken[i] = a.send(ctx, helper, announced)
		})
	}
	sends.Wait()
	var left []netip.Addr
	for i, share := range shares {
		if !taken[i] {
			left = append(left, share...)
		}
	}
	return left
}

// sendAll sends the announcement to the hosts at the same time, and returns those that have confirmed it and those that have not.
func (a *Announcer) sendAll(ctx context.Context, hosts []netip.Addr, announced Announcement) (confirmed, lost []netip.Addr) {
	received := make([]bool, len(hosts))
	var sends sync.WaitGroup
	for i, host := range hosts {
		sends.Go(func() { received[i] = a.send(ctx, host, announced) })
	}
	sends.Wait()
	for i, host := range hosts {
		if received[i] {
			confirmed = append(confirmed, host)
		} else {
			lost = append(lost, host)
		}
	}
	return confirmed, lost
}

func (a *Announcer) send(ctx context.Context, to netip.Addr, announced Announcement) bool {
	if !acquire(ctx, a.slots) {
		return false
	}
	defer func() { <-a.slots }()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return a.daemon.SendAnnouncement(ctx, to, announced) == nil
}

// acquire takes one of the places in the channel; false means that the context ended first.
func acquire(ctx context.Context, places chan struct{}) bool {
	select {
	case places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
