package pressure

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Throttles refuses requests that would fail for overload deeper down, before anything is spent on them.
//
// It is for a slow deep service below callers who retry hard. Each request
// would run at every service above it and then be refused at the last, so that
// most of the fleet's work is for nothing; and the services above, busy with
// it, refuse what could succeed. The answers of an organisation's own requests
// are what counts, not what any host reports of itself: a signal that lies
// can't close a door, and one organisation's refusals close no other's.
type Throttles struct {
	mu    sync.Mutex
	doors map[route]*throttle
	rand  func() float64
}

type route struct {
	organisation string
	operation    string
}

// Option sets one property of doors.
type Option func(*Throttles)

// WithRand sets the source of chance, numbers from 0 to 1.
func WithRand(f func() float64) Option { return func(d *Throttles) { d.rand = f } }

// most bounds the doors that are kept; each is made by a refusal and ends when its trouble is over.
const most = 4096

// New returns doors that are all open.
func New(opts ...Option) *Throttles {
	d := &Throttles{doors: map[route]*throttle{}, rand: rand.Float64}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Admit reports whether the request may go on; if not, when its caller should come back.
func (d *Throttles) Admit(now time.Time, organisation, operation string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.doors) == 0 {
		return 0, true
	}
	t := d.doors[route{organisation, operation}]
	if t == nil {
		return 0, true
	}
	t.decay(now)
	chance := t.refusal()
	if chance == 0 || d.rand() >= chance {
		t.unanswered++
		t.fit()
		return 0, true
	}
	t.turned++
	t.fit()
	back := time.Duration(float64(t.back) * (jitterLeast + jitterSpread*d.rand()))
	return min(max(back, leastBack), mostBack), false
}

// jitterLeast and jitterSpread set the random factor of come-back times, 0.75 to 1.25.
const (
	jitterLeast  = 0.75
	jitterSpread = 0.5
)

// Report takes in how an admitted request ended: the pressure that came back
// with its answer, 0 to 1, and when its caller was told to come back.
func (d *Throttles) Report(now time.Time, organisation, operation string, pressure float64, back time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := route{organisation, operation}
	t := d.doors[r]
	if t == nil {
		if pressure == 0 {
			return
		}
		t = d.open(now, r)
	}
	t.decay(now)
	t.answer(now, min(max(pressure, 0), 1))
	if pressure > 0 && back > 0 {
		t.back = back
	}
	if pressure == 0 && t.over(now) {
		delete(d.doors, r)
	}
}

// open makes the door of a first refusal.
func (d *Throttles) open(now time.Time, r route) *throttle {
	if len(d.doors) >= most {
		d.sweep(now)
	}
	t := &throttle{at: now, halfLife: shortest}
	d.doors[r] = t
	return t
}

// sweep ends the doors that nobody has come to lately, or all if there is none such.
func (d *Throttles) sweep(now time.Time) {
	for r, t := range d.doors {
		t.decay(now)
		if t.asked() < 1 {
			delete(d.doors, r)
		}
	}
	if len(d.doors) >= most {
		clear(d.doors)
	}
}

// Len returns how many doors are not fully open.
func (d *Throttles) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.doors)
}
