package member

import "time"

// probePace bounds how many hosts with failures are tried.
//
// Made for regions that are apart for an hour, when one neighbour there after the other becomes a suspect, hundreds
// in the end. Tried every probeEvery each, they would cost every daemon hundreds of connections a second, which one
// notices as processor time without traffic. When a suspect answers again, others probably do too, and go on waiting
// for work until they are tried; so the pace is higher for a while.
type probePace struct {
	allowed float64
	at      time.Time
	// hasty is how many more are tried at the higher pace.
	hasty int
}

const (
	// probesPerSecond is the pace while none answers: up to 20 suspects are tried every probeEvery.
	probesPerSecond = 10
	// hastyPerSecond tries a thousand suspects in ten seconds.
	hastyPerSecond = 100
	// hastyAfter is how many probes one answer hastens: one host that comes and goes keeps no high pace up.
	hastyAfter = 20
)

func (p *probePace) hasten() { p.hasty = hastyAfter }

// take returns how many of those that are due may be tried now.
func (p *probePace) take(due int, now time.Time) int {
	pace := float64(probesPerSecond)
	if p.hasty > 0 {
		pace = hastyPerSecond
	}
	p.allowed = min(p.allowed+pace*now.Sub(p.at).Seconds(), pace)
	p.at = now
	n := min(due, int(p.allowed))
	p.allowed -= float64(n)
	p.hasty = max(p.hasty-n, 0)
	return n
}
