package main

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryWatch kills daemons whose memory exceeds its limit, as the platform does, and starts them again after a short delay.
type memoryWatch struct {
	fleet        *fleet
	kills, peaks []atomic.Int64
	stop         chan struct{}
	watching     sync.WaitGroup
}

func (f *fleet) watchMemory() *memoryWatch {
	w := &memoryWatch{fleet: f, kills: make([]atomic.Int64, len(f.hosts)), peaks: make([]atomic.Int64, len(f.hosts)), stop: make(chan struct{})}
	for n, h := range f.hosts {
		w.watching.Go(func() { w.watch(h, &w.kills[n], &w.peaks[n]) })
	}
	return w
}

func (w *memoryWatch) watch(h *host, kills, peak *atomic.Int64) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := h.memory()
		peak.Store(max(peak.Load(), used))
		if used <= int64(w.fleet.memoryMB)<<20 {
			continue
		}
		w.fleet.record.line("the daemon of %s has %d MB, %d are allowed: the platform kills it", h.name, used>>20, w.fleet.memoryMB)
		h.signal(syscall.SIGKILL)
		<-h.ended
		kills.Add(1)
		time.Sleep(500 * time.Millisecond)
		if err := h.start(); err != nil {
			w.fleet.record.line("start: %v", err)
			return
		}
	}
}

// end ends the watch, and records how often each daemon was killed. Fault is broken if two were killed three times.
func (w *memoryWatch) end() {
	machines := 0
	close(w.stop)
	w.watching.Wait()
	for n, h := range w.fleet.hosts {
		kills := w.kills[n].Load()
		w.fleet.record.line("%s: most memory %d MB, killed %d times", h.name, w.peaks[n].Load()>>20, kills)
		if kills >= 3 {
			machines++
		}
	}
	w.fleet.record.line("%d machines with three kills or more; two break Fault", machines)
}
