package rates

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// confirmInterval is the time between two statement requests while a member is due for one, as in the daemon.
const confirmInterval = 20 * time.Millisecond

func (sim *Simulation) startTimers(h *Host, incarnation uint64) {
	if sim.division != Lending {
		return
	}
	var confirm, prefetch func()
	confirm = func() {
		interval := rate.TickEvery
		if m, ok := h.home.NextAsk(sim.Now); ok {
			sim.requestStatement(h, m)
			interval = confirmInterval
		}
		sim.runOn(h, incarnation, interval, confirm)
	}
	prefetch = func() {
		h.home.Tick(sim.Now)
		for _, ask := range h.borrower.Tick(sim.Now) {
			sim.lease(h, ask, func(rate.LeaseReply, time.Time) {}, func() {})
		}
		sim.runOn(h, incarnation, rate.TickEvery, prefetch)
	}
	sim.runOn(h, incarnation, sim.randomDuration(confirmInterval), confirm)
	sim.runOn(h, incarnation, sim.randomDuration(rate.TickEvery), prefetch)
}

// send sends a message from a to b and runs deliver on b for each copy that arrives.
//
// A connection ends with the process at either end, so a message only reaches the incarnation that it was sent to.
func (sim *Simulation) send(a, b *Host, incarnation uint64, deliver func()) {
	if a != b {
		sim.Counts.Messages++
	}
	copies := 1
	if a != b {
		if sim.rng.Float64() < sim.Network.LossFraction {
			copies = 0
		}
		if sim.rng.Float64() < sim.Network.DuplicateFraction {
			copies++
		}
	}
	for range copies {
		if sim.partitioned(a, b) {
			continue
		}
		sim.runOn(b, incarnation, sim.delay(a, b), deliver)
	}
}

func (sim *Simulation) delay(a, b *Host) time.Duration {
	if a == b {
		return 0
	}
	delay := sim.Network.MinDelay
	if sim.Network.DelaySpread > 0 {
		delay += sim.randomDuration(sim.Network.DelaySpread)
	}
	if a.Zone != b.Zone {
		delay += time.Millisecond
	}
	if sim.Network.MaxLateness > 0 && sim.rng.Float64() < sim.Network.LateFraction {
		delay += sim.randomDuration(sim.Network.MaxLateness)
	}
	return delay
}

func (sim *Simulation) requestStatement(h *Host, member rate.Member) {
	other, ok := sim.byName[member]
	if !ok {
		return
	}
	incarnation, asked, ask := h.incarnation, sim.Now, h.home.Statement(sim.Now)
	sim.send(h, other, other.incarnation, func() {
		reply := other.home.AnswerStatement(ask, sim.Now)
		sim.send(other, h, incarnation, func() { h.home.Hear(reply, asked, sim.Now) })
	})
}

// frameBytes is the overhead of a frame between daemons.
const frameBytes = 14

// countBytes adds the encoded size of a lease message to the counts.
func (sim *Simulation) countBytes(a, b *Host, message any) {
	if a == b {
		return
	}
	sim.encodeBuffer.Reset()
	encoder := msgpack.NewEncoder(&sim.encodeBuffer)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		panic(err)
	}
	sim.Counts.Bytes += frameBytes + sim.encodeBuffer.Len()
}

// leaseTimeout is the longest wait for a lease reply; after it, the request goes to the next home.
const leaseTimeout = 50 * time.Millisecond

func (sim *Simulation) lease(h *Host, ask rate.Ask, done func(rate.LeaseReply, time.Time), failed func()) {
	other, ok := sim.byName[ask.Home]
	if !ok {
		failed()
		return
	}
	incarnation, asked, finished := h.incarnation, sim.Now, false
	sim.countBytes(h, other, ask.Message)
	sim.send(h, other, other.incarnation, func() {
		reply := other.home.AnswerLease(ask.Message, sim.Now)
		sim.countBytes(other, h, reply)
		sim.send(other, h, incarnation, func() {
			h.borrower.Hear(ask.Home, reply, asked, sim.Now)
			if !finished {
				finished = true
				done(reply, asked)
			}
		})
	})
	sim.runOn(h, h.incarnation, leaseTimeout, func() {
		if !finished {
			finished = true
			h.borrower.Lost(ask, sim.Now)
			failed()
		}
	})
}
