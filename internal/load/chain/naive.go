package chain

import "time"

// hopTimeout is the fixed timeout of each hop in the naive fleet.
const hopTimeout = time.Second

// naiveCall makes up to attemptsLeft attempts at a hop, by round robin, without any bound over the whole chain. An attempt
// that times out is left running.
func (f *fleet) naiveCall(r request, attemptsLeft int, done func(bool)) {
	hosts := f.hostsByService[r.service()]
	f.nextInstance++
	target := f.hostsByName[hosts[f.nextInstance%len(hosts)].Host]
	finished := false
	finish := func(ok bool) {
		if finished {
			return
		}
		finished = true
		if ok || attemptsLeft == 1 {
			done(ok)
			return
		}
		f.naiveCall(r, attemptsLeft-1, done)
	}
	f.clock.After(hopTimeout, func() { finish(false) })
	f.clock.After(hostDelay, func() {
		f.naiveServe(target.instance, r, func(ok bool) {
			f.clock.After(hostDelay, func() { finish(ok) })
		})
	})
}

func (f *fleet) naiveServe(i *instance, r request, done func(bool)) {
	if f.responseLost(r) {
		deliver := done
		done = func(bool) { deliver(false) }
	}
	var w *work
	w = i.accept(func() {
		if r.last() {
			i.release(w)
			done(true)
			return
		}
		f.naiveSubcalls(r, func(ok bool) {
			i.release(w)
			done(ok)
		})
	})
	if w == nil {
		done(false)
		return
	}
	f.countRun(r)
}

// naiveSubcalls makes an upstream's concurrent sub-calls, each of which the upstream retries if it fails.
func (f *fleet) naiveSubcalls(r request, done func(bool)) {
	pending, allOK := 1, true
	if r.hop == r.operation.FanOutHop {
		pending = max(r.operation.FanOut, 1)
	}
	r.hop++
	var send func(retriesLeft int)
	send = func(retriesLeft int) {
		f.naiveCall(r, attemptsPerHop, func(ok bool) {
			if !ok && retriesLeft > 0 {
				send(retriesLeft - 1)
				return
			}
			allOK = allOK && ok
			if pending--; pending == 0 {
				done(allOK)
			}
		})
	}
	for range pending {
		send(f.deployment.UpstreamRetries)
	}
}
