package daemon

import (
	"runtime/debug"
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

// release gives memory back after a large list was read.
//
// Reading a megabyte of JSON leaves several times as much garbage. The runtime
// collects it at the next doubling of the heap, which a daemon without much
// traffic may not reach for minutes; until then its host's upstream lacks the memory.
// One collection for each time that large lists come costs some milliseconds.
func (c *control) release(size int) {
	if size < largeValue || c.releasing {
		return
	}
	c.releasing = true
	wait := max(releaseDelay, releaseSpacing-time.Since(c.released))
	time.AfterFunc(wait, func() {
		debug.FreeOSMemory()
		c.ask(func() { c.releasing, c.released = false, time.Now() })
	})
}
