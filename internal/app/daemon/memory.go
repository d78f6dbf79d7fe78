package daemon

import (
	"runtime/debug"
	"sync"
	"time"
)

const (
	// largeValueBytes is the size from which reading a list leaves megabytes of garbage.
	largeValueBytes = 64 << 10
	// releaseDelay lets lists that arrive together, as at a start, share one collection.
	releaseDelay = 2 * time.Second
	// minReleaseInterval bounds the cost of lists that change all the time, since a collection takes as long as
	// reading one of them.
	minReleaseInterval = 5 * time.Second
)

// noteLargeValue is called when a list is read or sent. For a large one it makes the garbage collector run more often
// and returns memory to the operating system a little later.
//
// Reading a megabyte of JSON leaves several times as much garbage, and sending it to peers leaves a copy for each. The
// runtime collects that only when the heap has doubled, so the process would grow to twice the size it needs, and a
// daemon with little traffic may take minutes to get that far; until then the host's upstream lacks the memory.
// One collection per batch of large lists costs some milliseconds.
func (c *control) noteLargeValue(size int) {
	if size < largeValueBytes {
		return
	}
	c.largeValueSeen = true
	if !c.releasing {
		c.releasing = true
		sharedGCTuner.begin()
		c.releaseAfter(max(releaseDelay, minReleaseInterval-time.Since(c.lastReleaseAt)))
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

// memoryReleased restores the garbage collector's setting, unless another large list came while memory was being released.
func (c *control) memoryReleased() {
	c.lastReleaseAt = time.Now()
	if c.largeValueSeen {
		c.releaseAfter(minReleaseInterval)
		return
	}
	c.releasing = false
	sharedGCTuner.end()
}

// largeValueGCPercent is the GC percentage while large lists arrive. At the runtime's default of 100 the garbage of
// several lists takes as much memory as all live data; below 25 it costs more processor time than it saves memory.
const largeValueGCPercent = 25

// gcTuner sets the GC percentage of the process, which all its daemons share.
type gcTuner struct {
	mu       sync.Mutex
	users    int
	previous int
}

var sharedGCTuner gcTuner

// begin lowers the GC percentage until the matching end. A lower percentage, or off, was set by the operator and stays.
func (t *gcTuner) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.users++
	if t.users > 1 {
		return
	}
	t.previous = debug.SetGCPercent(largeValueGCPercent)
	if t.previous < largeValueGCPercent {
		debug.SetGCPercent(t.previous)
	}
}

// end restores the percentage from before the first begin when the last user has ended.
func (t *gcTuner) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.users--
	if t.users == 0 {
		debug.SetGCPercent(t.previous)
	}
}
