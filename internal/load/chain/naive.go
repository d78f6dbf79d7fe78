package chain

import "time"

// hopTimeout is the fixed timeout of each hop in the naive fleet.
const hopTimeout = time.Second

// naiveCall tries a hop three times, each at the next instance in turn, with no
// bound over the chain. An attempt that times out is left running.
func (f *fleet) naiveCall(r request, tries int, done func(bool)) {
	hosts := f.hosts[r.service()]
	f.turn++
	target := f.byName[hosts[f.turn%len(hosts)].Host]
	over := false
	end := func(ok bool) {
		if over {
			return
		}
		over = true
		if ok || tries == 1 {
			done(ok)
			return
		}
		f.naiveCall(r, tries-1, done)
	}
	f.clock.after(hopTimeout, func() { end(false) })
	f.clock.after(oneWay, func() {
		f.naiveServe(target.instance, r, func(ok bool) {
			f.clock.after(oneWay, func() { end(ok) })
		})
	})
}

func (f *fleet) naiveServe(i *instance, r request, done func(bool)) {
	if f.lost() {
		inner := done
		done = func(bool) { inner(false) }
	}
	var w *work
	w = i.take(func() {
		if r.last() {
			i.release(w)
			done(true)
			return
		}
		next := r
		next.hop++
		f.naiveCall(next, triesPerHop, func(ok bool) {
			i.release(w)
			done(ok)
		})
	})
	if w == nil {
		done(false)
		return
	}
	f.runs++
}
