package catalog

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// Entry is what is published under one key: an instance, a configuration, the drain of an availability zone, or something unusable. The
// revision is the store's counter at its last change.
type Entry struct {
	Key      string
	Revision uint64
	Instance *routing.Instance
	Config   *routing.Config
	// DrainedZone is the availability zone whose instances must receive no requests while the entry exists.
	DrainedZone string
	Removed     bool
	// Grace is how much longer a removed entry may return, since an outage of the store may have caused its removal.
	Grace time.Duration
	// Fault says why the entry can't be used; it has no instance and no drained zone then.
	Fault string
	// Note describes a part of the entry that was not understood but doesn't prevent its use.
	Note string
}

// Changes has the entries that changed since an earlier revision.
type Changes struct {
	// Revision is the store's counter up to which no change is missing.
	Revision uint64
	// Whole means that every existing key is among the entries.
	Whole   bool
	Entries []Entry
}

// Catalog is what one daemon has received; it is used by one goroutine at a time.
//
// The store numbers all changes with one counter, so all daemons agree on what is newer: a catalog takes entries from the store and from
// other daemons alike, and never goes back to an older one.
type Catalog struct {
	config         *routing.Config
	configRevision uint64
	revision       uint64
	entries        map[string]Entry
	// removed has the revisions of removed keys, so that an older entry from another daemon doesn't restore them.
	removed map[string]uint64
	// pendingRemovals has the entries that were found missing right after an outage.
	pendingRemovals map[string]pendingRemoval
}

// pendingRemoval is the removal of an entry that may return: the revision of its removal, and the time until which the entry is kept.
type pendingRemoval struct {
	revision uint64
	graceEnd time.Time
}

// ReturnGrace is how long after an outage of the store an entry that expired during the outage may be missing: live instances have
// registered again after about 2 s.
const ReturnGrace = 2 * time.Second

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{entries: map[string]Entry{}, removed: map[string]uint64{}, pendingRemovals: map[string]pendingRemoval{}}
}

// Revision returns the store's counter up to which no change is missing; 0 means that nothing was read yet.
func (c *Catalog) Revision() uint64 { return c.revision }

// Version returns the version of the configuration in force; 0 means none.
func (c *Catalog) Version() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// Outcome says what a call of Apply has changed.
type Outcome struct {
	// Configured means that a newer configuration came into force.
	Configured bool
	// Instances means that the set of instances, one of them or the drained zones changed.
	Instances bool
	// Rejected says why a newer configuration did not come into force; the last one stays.
	Rejected error
	// Faults says what of the configuration in force can't be served.
	Faults []string
	// Faulty are the added entries that can't be used, or only in part.
	Faulty []Entry
}

// Apply merges changes into the catalog. Until graceEnd, which is ReturnGrace after an outage of the store, missing entries are kept, since
// they may return: removing all that expired in the outage would take every service down. Entries that are missing later are removed at
// once.
func (c *Catalog) Apply(changes Changes, now, graceEnd time.Time) Outcome {
	var out Outcome
	if changes.Whole && changes.Revision < c.revision {
		return out
	}
	present := map[string]bool{}
	for _, entry := range changes.Entries {
		present[entry.Key] = true
		c.applyEntry(entry, now, graceEnd, &out)
	}
	if changes.Whole {
		for key, entry := range c.entries {
			if !present[key] && entry.Revision <= changes.Revision {
				c.remove(key, changes.Revision, now, graceEnd, &out)
			}
		}
	}
	c.revision = max(c.revision, changes.Revision)
	return out
}

func (c *Catalog) applyEntry(entry Entry, now, graceEnd time.Time, out *Outcome) {
	if entry.Config != nil {
		c.configure(entry, out)
		return
	}
	old, known := c.entries[entry.Key]
	if known && old.Revision >= entry.Revision || c.removed[entry.Key] >= entry.Revision {
		return
	}
	if entry.Removed {
		if entry.Grace > 0 {
			graceEnd = now.Add(entry.Grace)
		}
		c.remove(entry.Key, entry.Revision, now, graceEnd, out)
		return
	}
	delete(c.pendingRemovals, entry.Key)
	delete(c.removed, entry.Key)
	c.entries[entry.Key] = entry.received(now)
	out.Instances = true
	if entry.Fault != "" || entry.Note != "" {
		out.Faulty = append(out.Faulty, entry)
	}
}

// received returns the entry with the time until which its instance is cold.
func (e Entry) received(now time.Time) Entry {
	if e.Instance == nil || e.Instance.ColdFor == 0 {
		return e
	}
	cold := *e.Instance
	cold.ColdUntil = now.Add(cold.ColdFor)
	e.Instance = &cold
	return e
}

// forwarded returns the entry for another daemon, with the warm-up time that remains now.
func (e Entry) forwarded(now time.Time) Entry {
	if e.Instance == nil || e.Instance.ColdFor == 0 {
		return e
	}
	cold := *e.Instance
	cold.ColdFor = max(cold.ColdUntil.Sub(now), 0)
	e.Instance = &cold
	return e
}

// configure puts a configuration in force if it is newer and valid.
func (c *Catalog) configure(entry Entry, out *Outcome) {
	if entry.Config.Version <= c.Version() {
		return
	}
	if err := entry.Config.Check(); err != nil {
		out.Rejected = err
		return
	}
	out.Faults = append(entry.Config.MarkFaults(), entry.Config.Notes...)
	c.config, c.configRevision = entry.Config, entry.Revision
	out.Configured = true
}

// remove removes an entry. Only instances get a grace period, since only their entries expire when the store is unavailable.
func (c *Catalog) remove(key string, revision uint64, now, graceEnd time.Time, out *Outcome) {
	entry, known := c.entries[key]
	if known && entry.DrainedZone == "" && now.Before(graceEnd) {
		if _, pending := c.pendingRemovals[key]; !pending {
			c.pendingRemovals[key] = pendingRemoval{revision: revision, graceEnd: graceEnd}
		}
		return
	}
	c.removed[key] = max(c.removed[key], revision)
	delete(c.pendingRemovals, key)
	if known {
		delete(c.entries, key)
		out.Instances = true
	}
}

// Expire removes the instances that did not return in time, and reports whether there were any.
func (c *Catalog) Expire(now time.Time) bool {
	dropped := false
	for key, pending := range c.pendingRemovals {
		if now.Before(pending.graceEnd) {
			continue
		}
		c.removed[key] = max(c.removed[key], pending.revision)
		delete(c.pendingRemovals, key)
		delete(c.entries, key)
		dropped = true
	}
	return dropped
}

// Since returns what another daemon lacks that has the given version of the configuration and all entries up to the revision. Pending
// removals are included. If these were sent only once they are final, their revisions would be older than what the other daemon has by
// then, and it would never receive them.
func (c *Catalog) Since(version, revision uint64, now time.Time) Changes {
	changes := Changes{Revision: c.revision}
	if c.Version() > version {
		changes.Entries = append(changes.Entries, Entry{Revision: c.configRevision, Config: c.config})
	}
	for _, entry := range c.entries {
		if entry.Revision > revision {
			changes.Entries = append(changes.Entries, entry.forwarded(now))
		}
	}
	for key, pending := range c.pendingRemovals {
		if pending.revision > revision {
			changes.Entries = append(changes.Entries, Entry{Key: key, Revision: pending.revision, Removed: true, Grace: max(pending.graceEnd.Sub(now), 0)})
		}
	}
	for key, removedRevision := range c.removed {
		if removedRevision > revision {
			changes.Entries = append(changes.Entries, Entry{Key: key, Revision: removedRevision, Removed: true})
		}
	}
	return changes
}

// Config returns the configuration in force, or nil; it must not be changed.
func (c *Catalog) Config() *routing.Config { return c.config }

// Instances returns the usable instances, one for each address, sorted by ID.
//
// The address of a stopped instance may be reused by another. Until the old entry expires both name the address, and requests for the old
// instance would be refused by the new one.
func (c *Catalog) Instances() []routing.Instance {
	newest := make(map[netip.AddrPort]published, len(c.entries))
	for _, entry := range c.entries {
		if entry.Instance == nil {
			continue
		}
		found := published{entry.Instance, entry.Revision}
		if other, known := newest[entry.Instance.Address]; !known || found.newer(other) {
			newest[entry.Instance.Address] = found
		}
	}
	// Pointers are sorted, since moving whole instances around takes most of the time in a large fleet.
	sorted := make([]*routing.Instance, 0, len(newest))
	for _, found := range newest {
		sorted = append(sorted, found.instance)
	}
	slices.SortFunc(sorted, func(a, b *routing.Instance) int { return cmp.Compare(a.ID, b.ID) })
	all := make([]routing.Instance, len(sorted))
	for i, inst := range sorted {
		all[i] = *inst
	}
	return all
}

// published is an instance with the revision of its entry.
type published struct {
	instance *routing.Instance
	revision uint64
}

// DrainedZones returns the availability zones whose instances must receive no requests, sorted.
func (c *Catalog) DrainedZones() []string {
	var zones []string
	for _, entry := range c.entries {
		if entry.DrainedZone != "" {
			zones = append(zones, entry.DrainedZone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

func (p published) newer(other published) bool {
	if !p.instance.Born.Equal(other.instance.Born) {
		return p.instance.Born.After(other.instance.Born)
	}
	return p.revision > other.revision
}
