package rates

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// confirmEvery is the time between two questions to members while there are some to ask, as in the daemon.
const confirmEvery = 20 * time.Millisecond

func (w *World) tick(h *Host, incarnation uint64) {
	if w.way != Lending {
		return
	}
	var confirm, prefetch func()
	confirm = func() {
		pace := rate.TickEvery
		if m, ok := h.home.NextAsk(w.Now); ok {
			w.confirm(h, m)
			pace = confirmEvery
		}
		w.process(h, incarnation, pace, confirm)
	}
	prefetch = func() {
		h.home.Tick(w.Now)
		for _, ask := range h.borrower.Tick(w.Now) {
			w.lease(h, ask, func(rate.LeaseReply, time.Time) {}, func() {})
		}
		w.process(h, incarnation, rate.TickEvery, prefetch)
	}
	w.process(h, incarnation, w.rngTime(confirmEvery), confirm)
	w.process(h, incarnation, w.rngTime(rate.TickEvery), prefetch)
}

// send carries a message from a to b, and runs arrive there as often as the network wants.
//
// A connection ends with the process at either end, so a message reaches only
// the process it was meant for.
func (w *World) send(a, b *Host, incarnation uint64, arrive func()) {
	if a != b {
		w.Counts.Messages++
	}
	copies := 1
	if a != b {
		if w.rng.Float64() < w.Network.Lost {
			copies = 0
		}
		if w.rng.Float64() < w.Network.Doubled {
			copies++
		}
	}
	for range copies {
		if w.cut(a, b) {
			continue
		}
		w.process(b, incarnation, w.delay(a, b), arrive)
	}
}

func (w *World) delay(a, b *Host) time.Duration {
	if a == b {
		return 0
	}
	d := w.Network.Least
	if w.Network.Spread > 0 {
		d += w.rngTime(w.Network.Spread)
	}
	if a.Zone != b.Zone {
		d += time.Millisecond
	}
	if w.Network.LateBy > 0 && w.rng.Float64() < w.Network.Late {
		d += w.rngTime(w.Network.LateBy)
	}
	return d
}

func (w *World) confirm(h *Host, to rate.Member) {
	other, ok := w.byName[to]
	if !ok {
		return
	}
	incarnation, asked, ask := h.incarnation, w.Now, h.home.Statement(w.Now)
	w.send(h, other, other.incarnation, func() {
		answer := other.home.AnswerStatement(ask, w.Now)
		w.send(other, h, incarnation, func() { h.home.Hear(answer, asked, w.Now) })
	})
}

// frameBytes is what a frame between daemons takes besides its message.
const frameBytes = 14

// weigh counts the bytes of a lease message as they would be on the wire.
func (w *World) weigh(a, b *Host, message any) {
	if a == b {
		return
	}
	w.wire.Reset()
	out := msgpack.NewEncoder(&w.wire)
	out.UseCompactInts(true)
	if err := out.Encode(message); err != nil {
		panic(err)
	}
	w.Counts.Bytes += frameBytes + w.wire.Len()
}

// askBound is how long a waiting request's question may take; homes slower than that are passed over.
const askBound = 50 * time.Millisecond

func (w *World) lease(h *Host, ask rate.Ask, done func(rate.LeaseReply, time.Time), lost func()) {
	other, ok := w.byName[ask.Home]
	if !ok {
		lost()
		return
	}
	incarnation, asked, over := h.incarnation, w.Now, false
	w.weigh(h, other, ask.Message)
	w.send(h, other, other.incarnation, func() {
		reply := other.home.AnswerLease(ask.Message, w.Now)
		w.weigh(other, h, reply)
		w.send(other, h, incarnation, func() {
			h.borrower.Hear(ask.Home, reply, asked, w.Now)
			if !over {
				over = true
				done(reply, asked)
			}
		})
	})
	w.process(h, h.incarnation, askBound, func() {
		if !over {
			over = true
			h.borrower.Lost(ask, w.Now)
			lost()
		}
	})
}
