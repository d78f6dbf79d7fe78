package crash

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
)

// Detector tells crashes of the instance on this host from connections that merely break, and knows which requests R were at work there.
type Detector[R comparable] struct {
	// refuses reports whether the instance refuses connections.
	refuses func(context.Context) bool
	// suspectOf returns what a report on a crash says of a request.
	suspectOf func(R) Suspect
	// crashed receives what was at work at a crash. The results of these requests wait until it returns.
	crashed func([]Suspect)

	mu sync.Mutex
	// atWork has the requests that were sent to the instance and wait for its response.
	atWork map[R]struct{}
	// abandoned has those whose callers left or whose time ended; the instance may still work on them.
	abandoned []abandonedRun
	last      *check
}

// Suspect is a request that was at work at a crash.
type Suspect struct {
	RequestID string
	Salt      quarantine.Salt
	Key       quarantine.Key
}

// SuspectOf returns the request with the id and the content as a suspect, with the fingerprint that the table uses now.
func SuspectOf(table *quarantine.Table, requestID string, content *quarantine.Content) Suspect {
	salt := table.Salt()
	return Suspect{RequestID: requestID, Salt: salt, Key: quarantine.Key{Route: content.Route, Fingerprint: content.Fingerprint(salt)}}
}

// abandonedRun is a request that may still be at work although nobody waits for its response.
type abandonedRun struct {
	Suspect
	at time.Time
}

// check finds out whether the instance has crashed.
type check struct {
	startedAt time.Time
	// done is closed when crashed is known, and the crash is reported.
	done    chan struct{}
	crashed bool
}

const (
	// checkTimeout bounds the wait for a connection to the instance; a process on the same host refuses or accepts at once.
	checkTimeout = 200 * time.Millisecond
	// recheckPause is the wait before a second look: a process that ends may close its connections before it stops listening.
	recheckPause = 20 * time.Millisecond
	// maxChecks bounds the checks after one lost response: one that began before the loss says nothing about it unless it finds a crash.
	maxChecks = 2
	// abandonedTTL is how long an instance may go on with a request that nobody waits for. Most end it with its connection.
	abandonedTTL = 2 * time.Second
	// maxAbandoned bounds the abandoned runs that are remembered.
	maxAbandoned = 256
)

// NewDetector returns a detector for one instance. refuses reports whether it refuses connections, suspectOf what a report says of a request, and crashed
// receives the reports; the results of the requests wait until it returns.
func NewDetector[R comparable](refuses func(context.Context) bool, suspectOf func(R) Suspect, crashed func([]Suspect)) *Detector[R] {
	return &Detector[R]{refuses: refuses, suspectOf: suspectOf, crashed: crashed, atWork: map[R]struct{}{}}
}

// Begin records that the request is sent to the instance; End must follow.
func (d *Detector[R]) Begin(req R) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.atWork[req] = struct{}{}
}

// End records that nobody waits for the instance's response any more; abandoned means that the instance may not have given it.
func (d *Detector[R]) End(req R, abandoned bool) {
	var left Suspect
	if abandoned {
		left = d.suspectOf(req)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.atWork, req)
	if abandoned {
		d.abandoned = append(d.abandoned, abandonedRun{left, time.Now()})
		d.abandoned = d.abandoned[max(len(d.abandoned)-maxAbandoned, 0):]
	}
}

// Lost reports whether the instance has crashed under a request that began at the given time and whose connection has just ended, and that is still at
// work by Begin and End. When it returns, the crash is reported.
func (d *Detector[R]) Lost(ctx context.Context, began time.Time) bool {
	lostAt := time.Now()
	for range maxChecks {
		current, first := d.checkFor(began)
		if first {
			d.run(current)
		}
		select {
		case <-current.done:
		case <-ctx.Done():
			return false
		}
		if current.crashed || !current.startedAt.Before(lostAt) {
			return current.crashed
		}
	}
	return false
}

// checkFor returns the check that tells of a request which began at the given time; first means that it is a new one, which the caller must run.
func (d *Detector[R]) checkFor(began time.Time) (current *check, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if last := d.last; last != nil {
		select {
		case <-last.done:
			if last.crashed && began.Before(last.startedAt) {
				return last, false
			}
		default:
			return last, false
		}
	}
	d.last = &check{startedAt: time.Now(), done: make(chan struct{})}
	return d.last, true
}

// run finds out whether the instance has crashed, and reports it.
func (d *Detector[R]) run(current *check) {
	defer close(current.done)
	if current.crashed = d.hasCrashed(); current.crashed {
		d.crashed(d.suspects())
	}
}

func (d *Detector[R]) hasCrashed() bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	if d.refuses(ctx) {
		return true
	}
	time.Sleep(recheckPause)
	return d.refuses(ctx)
}

// suspects returns what was at work, and forgets the abandoned runs, which have ended with the instance.
func (d *Detector[R]) suspects() []Suspect {
	d.mu.Lock()
	requests, abandoned := slices.Collect(maps.Keys(d.atWork)), d.abandoned
	d.abandoned = nil
	d.mu.Unlock()
	var suspects []Suspect
	for _, req := range requests {
		suspects = append(suspects, d.suspectOf(req))
	}
	for _, run := range abandoned {
		if time.Since(run.at) <= abandonedTTL {
			suspects = append(suspects, run.Suspect)
		}
	}
	return suspects
}
