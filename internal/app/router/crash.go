package router

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
)

// crashDetector tells crashes of the instance on this host from connections that merely break, and knows what was at work there.
type crashDetector struct {
	// refuses reports whether the instance refuses connections.
	refuses func(context.Context) bool
	// fingerprint returns the fingerprint of a request's content.
	fingerprint func(*runRequest) suspect
	// crashed receives what was at work at a crash. The results of these requests wait until it returns.
	crashed func([]suspect)

	mu sync.Mutex
	// atWork has the requests that were sent to the instance and wait for its response.
	atWork map[*runRequest]struct{}
	// abandoned has those whose callers left or whose time ended; the instance may still work on them.
	abandoned []abandonedRun
	last      *crashCheck
}

// suspect is a request that was at work at a crash.
type suspect struct {
	requestID string
	salt      quarantine.Salt
	key       quarantine.Key
}

// abandonedRun is a request that may still be at work although nobody waits for its response.
type abandonedRun struct {
	suspect
	at time.Time
}

// crashCheck finds out whether the instance has crashed.
type crashCheck struct {
	startedAt time.Time
	// done is closed when crashed is known, and the crash is reported.
	done    chan struct{}
	crashed bool
}

const (
	// crashCheckTimeout bounds the wait for a connection to the instance; a process on the same host refuses or accepts at once.
	crashCheckTimeout = 200 * time.Millisecond
	// crashRecheckPause is the wait before a second look: a process that ends may close its connections before it stops listening.
	crashRecheckPause = 20 * time.Millisecond
	// maxCrashChecks bounds the checks after one lost response: one that began before the loss says nothing about it unless it finds a crash.
	maxCrashChecks = 2
	// abandonedTTL is how long an instance may go on with a request that nobody waits for. Most end it with its connection.
	abandonedTTL = 2 * time.Second
	// maxAbandoned bounds the abandoned runs that are remembered.
	maxAbandoned = 256
)

func newCrashDetector(refuses func(context.Context) bool, fingerprint func(*runRequest) suspect, crashed func([]suspect)) *crashDetector {
	return &crashDetector{refuses: refuses, fingerprint: fingerprint, crashed: crashed, atWork: map[*runRequest]struct{}{}}
}

// begin records that the request is sent to the instance; end must follow.
func (d *crashDetector) begin(req *runRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.atWork[req] = struct{}{}
}

// end records that nobody waits for the instance's response any more; abandoned means that the instance may not have given it.
func (d *crashDetector) end(req *runRequest, abandoned bool) {
	var left suspect
	if abandoned {
		left = d.fingerprint(req)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.atWork, req)
	if abandoned {
		d.abandoned = append(d.abandoned, abandonedRun{left, time.Now()})
		d.abandoned = d.abandoned[max(len(d.abandoned)-maxAbandoned, 0):]
	}
}

// lost reports whether the instance has crashed under a request that began at the given time and whose connection has just ended. When it returns,
// the crash is reported.
func (d *crashDetector) lost(ctx context.Context, began time.Time) bool {
	lostAt := time.Now()
	for range maxCrashChecks {
		check, first := d.check(began)
		if first {
			d.run(check)
		}
		select {
		case <-check.done:
		case <-ctx.Done():
			return false
		}
		if check.crashed || !check.startedAt.Before(lostAt) {
			return check.crashed
		}
	}
	return false
}

// check returns the check that tells of a request which began at the given time; first means that it is a new one, which the caller must run.
func (d *crashDetector) check(began time.Time) (check *crashCheck, first bool) {
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
	d.last = &crashCheck{startedAt: time.Now(), done: make(chan struct{})}
	return d.last, true
}

// run finds out whether the instance has crashed, and reports it.
func (d *crashDetector) run(check *crashCheck) {
	defer close(check.done)
	if check.crashed = d.hasCrashed(); check.crashed {
		d.crashed(d.suspects())
	}
}

func (d *crashDetector) hasCrashed() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if d.refuses(ctx) {
		return true
	}
	sleep(ctx, crashRecheckPause)
	return d.refuses(ctx)
}

// suspects returns what was at work, and forgets the abandoned runs, which have ended with the instance.
func (d *crashDetector) suspects() []suspect {
	d.mu.Lock()
	requests, abandoned := slices.Collect(maps.Keys(d.atWork)), d.abandoned
	d.abandoned = nil
	d.mu.Unlock()
	var suspects []suspect
	for _, req := range requests {
		suspects = append(suspects, d.fingerprint(req))
	}
	for _, run := range abandoned {
		if time.Since(run.at) <= abandonedTTL {
			suspects = append(suspects, run.suspect)
		}
	}
	return suspects
}
