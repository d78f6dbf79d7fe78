package bootstrap

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
)

const (
	modelLatency  = 2 * time.Millisecond
	modelLink     = 25_000_000
	storeLink     = 125_000_000
	storeCalls    = 16_000
	storeAnswer   = 4 * time.Millisecond
	pageEntries   = 200
	pageTimeout   = 1500 * time.Millisecond
	entryBytes    = 300
	readPause     = 250 * time.Millisecond
	seedsLate     = 300 * time.Millisecond
	organisations = 333
)

// pipe carries the bytes of one host or of the store, one transfer after the other.
type pipe struct {
	mu        sync.Mutex
	perSecond float64
	free      time.Time
	carried   int
}

// carry waits until the bytes are through, or the context has ended.
func (p *pipe) carry(ctx context.Context, bytes int) error {
	p.mu.Lock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(bytes) / p.perSecond * float64(time.Second)))
	p.carried += bytes
	wait := p.free.Sub(now)
	p.mu.Unlock()
	return pause(ctx, wait)
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// modelFleet is a fleet whose daemons all start at once, beside a store of limited rate and bandwidth.
type modelFleet struct {
	daemons  []*modelDaemon
	byHost   map[netip.Addr]*modelDaemon
	topology *collect.Topology
	seeds    []netip.AddrPort
	link     pipe
	// refused has the hosts that the store turns away.
	refused map[netip.Addr]bool

	mu       sync.Mutex
	calls    int
	second   time.Time
	inSecond int
	started  time.Time
}

// modelDaemon is one daemon: the packages' own parts, with a network and a store that are simulated.
type modelDaemon struct {
	fleet     *modelFleet
	address   netip.AddrPort
	down      bool
	link      pipe
	loader    *Loader
	announcer *Announcer
	limiter   *Limiter

	mu       sync.Mutex
	loadedAt time.Time
	// pages is how many pages of the store this daemon has.
	pages int
}

func newModelFleet(size int) *modelFleet {
	f := &modelFleet{byHost: map[netip.Addr]*modelDaemon{}, link: pipe{perSecond: storeLink}, refused: map[netip.Addr]bool{}, started: time.Now()}
	var hosts []collect.Host
	for n := range size {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 1)
		d := &modelDaemon{fleet: f, address: address, link: pipe{perSecond: modelLink}, limiter: NewLimiter(modelLink)}
		f.daemons = append(f.daemons, d)
		f.byHost[address.Addr()] = d
		hosts = append(hosts, collect.Host{Address: address.Addr(), Zone: "z"})
	}
	f.topology = collect.NewTopology(hosts)
	for _, n := range rand.Perm(size)[:3] {
		f.seeds = append(f.seeds, f.daemons[n].address)
	}
	for _, d := range f.daemons {
		d.loader = NewLoader(d, d.address, f.seeds)
		d.announcer = NewAnnouncer(d, d.address)
	}
	return f
}

// entries is the number of published entries.
func (f *modelFleet) entries() int { return len(f.daemons) + organisations }

// copyBytes is the size of a complete copy.
func (f *modelFleet) copyBytes() int { return f.entries() * entryBytes }

// readPage reads one page of the store.
func (f *modelFleet) readPage(ctx context.Context, host netip.Addr) error {
	f.mu.Lock()
	f.calls++
	if now := time.Now(); now.Sub(f.second) >= time.Second {
		f.second, f.inSecond = now, 0
	}
	f.inSecond++
	refused := f.inSecond > storeCalls || f.refused[host]
	f.mu.Unlock()
	if refused {
		return errors.New("refused")
	}
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	if err := pause(ctx, modelLatency+storeAnswer); err != nil {
		return err
	}
	return f.link.carry(ctx, pageEntries*2*entryBytes)
}

// run starts all daemons at once, the seeds last, and lets the time pass.
func (f *modelFleet) run(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var running sync.WaitGroup
	for _, d := range f.daemons {
		if d.down {
			continue
		}
		running.Go(func() {
			if d.isSeed() {
				_ = pause(ctx, seedsLate)
			} else {
				_ = pause(ctx, rand.N(seedsLate))
			}
			d.load(ctx)
			<-ctx.Done()
		})
	}
	running.Wait()
	// Announcements that are on their way end with the context.
	time.Sleep(time.Second)
}

func (d *modelDaemon) isSeed() bool {
	for _, seed := range d.fleet.seeds {
		if seed == d.address {
			return true
		}
	}
	return false
}

func (d *modelDaemon) load(ctx context.Context) {
	for ctx.Err() == nil && !d.loader.Wait(ctx) {
		if d.read(ctx) {
			d.setLoaded()
			d.announcer.Announce(ctx, 1, 1, time.Now())
			return
		}
		_ = pause(ctx, readPause/2+rand.N(readPause))
	}
}

// read reads all pages; those that were read before a failure aren't read again.
func (d *modelDaemon) read(ctx context.Context) bool {
	ctx, cancel := d.loader.UntilLoaded(ctx)
	defer cancel()
	for ; d.pages*pageEntries < d.fleet.entries(); d.pages++ {
		if d.fleet.readPage(ctx, d.address.Addr()) != nil {
			return false
		}
	}
	return true
}

func (d *modelDaemon) setLoaded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.loadedAt.IsZero() {
		d.loadedAt = time.Now()
	}
	d.loader.SetLoaded()
}

func (d *modelDaemon) isLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.loadedAt.IsZero()
}

// Fetch implements Fetcher.
func (d *modelDaemon) Fetch(ctx context.Context, from netip.AddrPort) Reply {
	return d.fetch(ctx, from, false)
}

// FetchAnnounced implements Daemon.
func (d *modelDaemon) FetchAnnounced(ctx context.Context, from netip.AddrPort) {
	d.fetch(ctx, from, true)
}

func (d *modelDaemon) fetch(ctx context.Context, from netip.AddrPort, announced bool) Reply {
	other := d.fleet.byHost[from.Addr()]
	if other.down {
		<-ctx.Done()
		return Reply{}
	}
	if pause(ctx, modelLatency) != nil || !other.isLoaded() {
		return Reply{}
	}
	if announced {
		other.limiter.Count(d.fleet.copyBytes(), time.Now())
	} else if !other.limiter.Allow(d.fleet.copyBytes(), time.Now()) {
		go other.announcer.Announce(context.Background(), 1, 1, time.Now())
		return Reply{Outcome: Current}
	}
	if other.link.carry(ctx, d.fleet.copyBytes()) != nil {
		return Reply{}
	}
	d.setLoaded()
	return Reply{Outcome: Loaded}
}

// Has implements Daemon.
func (d *modelDaemon) Has(Announcement) bool { return d.isLoaded() }

// Tree implements Daemon.
func (d *modelDaemon) Tree() Tree { return d.fleet.topology }

// SendAnnouncement implements Daemon.
func (d *modelDaemon) SendAnnouncement(ctx context.Context, to netip.Addr, announced Announcement) error {
	other := d.fleet.byHost[to]
	if other.down {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := pause(ctx, modelLatency); err != nil {
		return err
	}
	go other.announcer.Receive(context.Background(), announced)
	return nil
}

// loadedAfter returns the time in which the fraction of the running daemons was loaded; a negative one if it never was.
func (f *modelFleet) loadedAfter(fraction float64) time.Duration {
	var running int
	var after []time.Duration
	for _, d := range f.daemons {
		if d.down {
			continue
		}
		running++
		if d.isLoaded() {
			after = append(after, d.loadedAt.Sub(f.started))
		}
	}
	needed := int(fraction * float64(running))
	if len(after) < needed {
		return -1
	}
	sortDurations(after)
	return after[needed-1]
}

// busiestCopies returns the number of complete copies that the busiest daemon has sent.
func (f *modelFleet) busiestCopies() int {
	busiest := 0
	for _, d := range f.daemons {
		busiest = max(busiest, d.link.carried)
	}
	return busiest / f.copyBytes()
}
