package daemon

import (
	"runtime/debug"
	"sync"
	"time"
)

const (
	// largeValueBytes is the size of a list from which its reading leaves megabytes behind.
	largeValueBytes = 64 << 10
	// releaseDelay gathers the lists that come together, as at a start.
	releaseDelay = 2 * time.Second
	// minReleaseInterval bounds what lists that change all the time cost: a collection takes as long as reading one of them.
	minReleaseInterval = 5 * time.Second
)

// noteLargeValue collects often from now on, and gives memory back a little later; it is called when a large list
// is read or handed out.
//
// Reading a megabyte of JSON leaves several times as much garbage, and handing it out a copy for each peer. The runtime
// collects it at the next doubling of the heap, so the process would grow to twice
// what it needs, and a daemon without much traffic may not reach the next doubling for minutes; until then its
// host's upstream lacks the memory.
// One collection for each time that large lists come costs some milliseconds.
func (c *control) noteLargeValue(size int) {
	if size < largeValueBytes {
		return
	}
	c.largeValueSeen = true
	if !c.releasing {
		c.releasing = true
		sharedGCTuner.begin()
		c.releaseAfter(max(releaseDelay, minReleaseInterval-time.Since(c.lastRelease)))
	}
}

func (c *control) releaseAfter(delay time.Duration) {
	time.AfterFunc(delay, func() {
		c.do(func() { c.largeValueSeen = false })
		debug.FreeOSMemory()
		if !c.do(c.memoryReleased) {
			sharedGCTuner.end()
		}
	})
}

// memoryReleased ends the sparing, unless another large list came while memory was given back.
func (c *control) memoryReleased() {
	c.lastRelease = time.Now()
	if c.largeValueSeen {
		c.releaseAfter(minReleaseInterval)
		return
	}
	c.releasing = false
	sharedGCTuner.end()
}

// largeValueGCPercent is the garbage collector's percentage while large lists come. At the runtime's default of 100 the
// garbage of some lists adds as much as all that the daemon holds; less than 25 costs more processor time than it saves memory.
const largeValueGCPercent = 25

// gcTuner sets how often the process collects; all daemons of one process share it.
type gcTuner struct {
	mu       sync.Mutex
	users    int
	previous int
}

var sharedGCTuner gcTuner

// begin makes the process collect often until the matching end; a percentage that is smaller, or off, is the operator's wish and stays.
func (c *gcTuner) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users++
	if c.users > 1 {
		return
	}
	c.previous = debug.SetGCPercent(largeValueGCPercent)
	if c.previous < largeValueGCPercent {
		debug.SetGCPercent(c.previous)
	}
}

// end brings back the percentage from before the first begin with the last end.
func (c *gcTuner) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users--
	if c.users == 0 {
		debug.SetGCPercent(c.previous)
	}
}
