package catalog

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// Entry is what is published under one key: an instance, a configuration, or
// nothing that can be used; the revision is the store's counter at its last change.
type Entry struct {
	Key      string
	Revision uint64
	Instance *routing.Instance
	Config   *routing.Config
	Removed  bool
	// Grace is how much longer a removed entry may return, since its end may be due to an outage of the store.
	Grace time.Duration
	// Fault tells why the entry can't be used; it names no instance then.
	Fault string
}

// Changes are entries that changed since an earlier revision.
type Changes struct {
	// Revision is the store's counter up to which nothing is missing.
	Revision uint64
	// Whole means that every key that exists is among the entries.
	Whole   bool
	Entries []Entry
}

// Catalog is what one daemon knows; it belongs to the control thread.
//
// The store counts each change with one counter, so what is newer is the same
// for every daemon: it takes entries from the store and from other daemons alike, and never goes back.
type Catalog struct {
	config   *routing.Config
	configAt uint64
	revision uint64
	entries  map[string]Entry
	// removed has the revisions of keys that are gone, so that an older entry from elsewhere doesn't bring them back.
	removed map[string]uint64
	// lapsing are entries that were found missing right after an outage.
	lapsing map[string]lapse
}

// lapse is the end of an entry that may return: the revision at which it ended, and the time until which it is kept.
type lapse struct {
	revision uint64
	end      time.Time
}

// ReturnTime is how long after the return of the store an entry that its outage made lapse may be missing: live instances
// are back after about 2 s.
const ReturnTime = 2 * time.Second

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{entries: map[string]Entry{}, removed: map[string]uint64{}, lapsing: map[string]lapse{}}
}

// Revision returns the counter up to which nothing is missing; 0 means that nothing was read yet.
func (c *Catalog) Revision() uint64 { return c.revision }

// Version returns the version of the configuration in force; 0 means none.
func (c *Catalog) Version() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// Outcome tells what an offer has changed.
type Outcome struct {
	// Configured means that another configuration is in force.
	Configured bool
	// Instances means that the set of instances or one of them changed.
	Instances bool
	// Rejected tells why a newer configuration is not in force; the last one stays.
	Rejected error
	// Faults tell what of the configuration in force can't be served.
	Faults []string
}

// Offer takes in changes. Until the time back, entries that are missing may return: the store was away until
// ReturnTime before it, and dropping what lapsed meanwhile would take every service down. Entries that are missing later are gone.
func (c *Catalog) Offer(ch Changes, now, back time.Time) Outcome {
	var out Outcome
	if ch.Whole && ch.Revision < c.revision {
		return out
	}
	seen := map[string]bool{}
	for _, e := range ch.Entries {
		seen[e.Key] = true
		c.take(e, now, back, &out)
	}
	if ch.Whole {
		for key, e := range c.entries {
			if !seen[key] && e.Revision <= ch.Revision {
				c.remove(key, ch.Revision, now, back, &out)
			}
		}
	}
	c.revision = max(c.revision, ch.Revision)
	return out
}

func (c *Catalog) take(e Entry, now, back time.Time, out *Outcome) {
	if e.Config != nil {
		c.configure(e, out)
		return
	}
	old, known := c.entries[e.Key]
	if known && old.Revision >= e.Revision || c.removed[e.Key] >= e.Revision {
		return
	}
	if e.Removed {
		if e.Grace > 0 {
			back = now.Add(e.Grace)
		}
		c.remove(e.Key, e.Revision, now, back, out)
		return
	}
	delete(c.lapsing, e.Key)
	delete(c.removed, e.Key)
	c.entries[e.Key] = e
	out.Instances = true
}

// configure puts the configuration in force if it is newer and sound.
func (c *Catalog) configure(e Entry, out *Outcome) {
	if e.Config.Version <= c.Version() {
		return
	}
	if err := e.Config.Check(); err != nil {
		out.Rejected = err
		return
	}
	out.Faults = append(e.Config.MarkFaults(), e.Config.Notes...)
	c.config, c.configAt = e.Config, e.Revision
	out.Configured = true
}

func (c *Catalog) remove(key string, revision uint64, now, back time.Time, out *Outcome) {
	_, known := c.entries[key]
	if known && now.Before(back) {
		if _, waits := c.lapsing[key]; !waits {
			c.lapsing[key] = lapse{revision: revision, end: back}
		}
		return
	}
	c.removed[key] = max(c.removed[key], revision)
	delete(c.lapsing, key)
	if known {
		delete(c.entries, key)
		out.Instances = true
	}
}

// Expire drops the instances that did not return in time, and reports whether there were any.
func (c *Catalog) Expire(now time.Time) bool {
	dropped := false
	for key, l := range c.lapsing {
		if now.Before(l.end) {
			continue
		}
		c.removed[key] = max(c.removed[key], l.revision)
		delete(c.lapsing, key)
		delete(c.entries, key)
		dropped = true
	}
	return dropped
}

// Since returns all that changed after the revision, for another daemon. Entries that may return are among it: told of only when
// they are dropped, they would be older than what the other has by then, and it would never hear of their end.
func (c *Catalog) Since(version, revision uint64, now time.Time) Changes {
	ch := Changes{Revision: c.revision}
	if c.Version() > version {
		ch.Entries = append(ch.Entries, Entry{Revision: c.configAt, Config: c.config})
	}
	for _, e := range c.entries {
		if e.Revision > revision {
			ch.Entries = append(ch.Entries, e)
		}
	}
	for key, l := range c.lapsing {
		if l.revision > revision {
			ch.Entries = append(ch.Entries, Entry{Key: key, Revision: l.revision, Removed: true, Grace: max(l.end.Sub(now), 0)})
		}
	}
	for key, at := range c.removed {
		if at > revision {
			ch.Entries = append(ch.Entries, Entry{Key: key, Revision: at, Removed: true})
		}
	}
	return ch
}

// Config returns the configuration in force, or nil; it must not be changed.
func (c *Catalog) Config() *routing.Config { return c.config }

// Instances returns the instances that can be used, one for each address.
//
// The address of an instance that is gone is given to another. Until the old
// entry ends both name it, and requests sent for the old one would be turned away there.
func (c *Catalog) Instances() []routing.Instance {
	newest := map[string]Entry{}
	for _, e := range c.entries {
		if e.Instance == nil {
			continue
		}
		at := e.Instance.Address.String()
		if other, taken := newest[at]; !taken || newer(e, other) {
			newest[at] = e
		}
	}
	all := make([]routing.Instance, 0, len(newest))
	for _, e := range newest {
		all = append(all, *e.Instance)
	}
	return all
}

func newer(a, b Entry) bool {
	if !a.Instance.Born.Equal(b.Instance.Born) {
		return a.Instance.Born.After(b.Instance.Born)
	}
	return a.Revision > b.Revision
}
