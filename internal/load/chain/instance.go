package chain

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/load/virtual"
)

// instance is an upstream with slots and a FIFO queue; it accepts up to its number of connections.
type instance struct {
	clock      *virtual.Clock
	random     *rand.Rand
	service    Service
	slowFactor float64
	busy       int
	waiting    []*work
}

// work is one request at an instance.
type work struct {
	// done is called when the instance's own work is done; the slot stays held until release.
	done     func()
	started  bool
	released bool
}

// accept accepts a request, or returns nil if all connections are in use.
func (i *instance) accept(done func()) *work {
	if i.busy+len(i.waiting) >= i.service.Connections {
		return nil
	}
	w := &work{done: done}
	if i.busy < i.service.Slots {
		i.start(w)
	} else {
		i.waiting = append(i.waiting, w)
	}
	return w
}

func (i *instance) start(w *work) {
	i.busy++
	w.started = true
	i.clock.After(i.sampleWork(), func() {
		if !w.released {
			w.done()
		}
	})
}

// sampleWork draws a work time: half of the mean is constant, the other half is exponentially distributed.
func (i *instance) sampleWork() time.Duration {
	return time.Duration(float64(i.service.MeanWork) * i.slowFactor * (1 + i.random.ExpFloat64()) / 2)
}

// release ends a request, whether done or cancelled.
func (i *instance) release(w *work) {
	if w.released {
		return
	}
	w.released = true
	if !w.started {
		return
	}
	i.busy--
	for len(i.waiting) > 0 && i.busy < i.service.Slots {
		next := i.waiting[0]
		i.waiting = i.waiting[1:]
		if !next.released {
			i.start(next)
		}
	}
}
