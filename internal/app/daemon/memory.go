package daemon

import (
	"runtime/debug"
	"sync"
	"time"
)

const (
	// largeValue is the size of a list from which its reading leaves megabytes behind.
	largeValue = 64 << 10
	// releaseDelay gathers the lists that come together, as at a start.
	releaseDelay = 2 * time.Second
	// releaseSpacing bounds what lists that change all the time cost: a collection takes as long as reading one of them.
	releaseSpacing = 5 * time.Second
)

// release collects often from now on, and gives memory back a little later; it is called when a large list
// is read or handed out.
//
// Reading a megabyte of JSON leaves several times as much garbage, and handing it out a copy for each peer. The runtime
// collects it at the next doubling of the heap, so the process would grow to twice
// what it needs, and a daemon without much traffic may not reach the next doubling for minutes; until then its
// host's upstream lacks the memory.
// One collection for each time that large lists come costs some milliseconds.
func (c *control) release(size int) {
	if size < largeValue {
		return
	}
	c.large = true
	if !c.releasing {
		c.releasing = true
		sparing.begin()
		c.giveBack(max(releaseDelay, releaseSpacing-time.Since(c.released)))
	}
}

func (c *control) giveBack(wait time.Duration) {
	time.AfterFunc(wait, func() {
		c.ask(func() { c.large = false })
		debug.FreeOSMemory()
		if !c.ask(c.gaveBack) {
			sparing.end()
		}
	})
}

// gaveBack ends the sparing, unless another large list came while memory was given back.
func (c *control) gaveBack() {
	c.released = time.Now()
	if c.large {
		c.giveBack(releaseSpacing)
		return
	}
	c.releasing = false
	sparing.end()
}

// sparePercent is the garbage collector's percentage while large lists come. At the runtime's default of 100 the
// garbage of some lists adds as much as all that the daemon holds; less than 25 costs more processor time than it saves memory.
const sparePercent = 25

// collector sets how often the process collects; all daemons of one process share it.
type collector struct {
	mu      sync.Mutex
	holders int
	percent int
}

var sparing collector

// begin makes the process collect often until the matching end; a percentage that is smaller, or off, is the operator's wish and stays.
func (c *collector) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders++
	if c.holders > 1 {
		return
	}
	c.percent = debug.SetGCPercent(sparePercent)
	if c.percent < sparePercent {
		debug.SetGCPercent(c.percent)
	}
}

// end brings back the percentage from before the first begin with the last end.
func (c *collector) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders--
	if c.holders == 0 {
		debug.SetGCPercent(c.percent)
	}
}
