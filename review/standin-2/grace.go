package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playGrace raises the grace in the settings of running daemons, and later stops one of them that waits for a run. Judged is LOST: a run is broken
// off before the last sixth of grace.
func playGrace(f *fleet, trouble bool) (bool, error) {
	const work, deadline = 8 * time.Second, 20 * time.Second
	front, _, err := f.add("lookup", "a", 36)
	if err != nil {
		return false, err
	}
	if _, _, err = f.add("dispatch", "b", 56); err != nil {
		return false, err
	}
	f.route("notice", "/notice/", "non_idempotent", "dispatch", "20s", "10s")
	if err := f.begin(); err != nil {
		return false, err
	}
	c := newClient(f.record, tenantKey)
	if warm := c.send(front, http.MethodPost, "recall.example", "/notice/warm?work=50", "x", deadline); warm.status != http.StatusOK {
		return false, errNotServed
	}
	if trouble {
		front.grace = 12 * time.Second
		if err := front.writeSettings(); err != nil {
			return false, err
		}
		f.record.line("platform writes the settings of %s with grace %v and sends SIGHUP", front.name, front.grace)
		front.signal(syscall.SIGHUP)
	}
	time.Sleep(4 * time.Second)
	var o outcome
	var sending sync.WaitGroup
	sending.Go(func() { o = c.send(front, http.MethodPost, "recall.example", "/notice/1?work=8000", "x", deadline) })
	time.Sleep(500 * time.Millisecond)
	ordered := front.terminate()
	sending.Wait()
	runs := f.runsOf(o.id)
	return o.cutBefore(ordered, front.grace, runs, f.record), nil
}

// cutBefore reports whether LOST is broken for the request: it was passed on to an instance and got no answer of the instance, although the instance
// was not at work on it in the last sixth of grace any more or the daemon broke the run off before that.
func (o *outcome) cutBefore(ordered time.Time, grace time.Duration, runs []run, rec *record) bool {
	lastSixth := ordered.Add(grace * 5 / 6)
	if len(runs) == 0 || o.signed && o.status != 0 {
		return false
	}
	ended := runs[0].ended
	rec.line("%s: run broken off %d ms after SIGTERM, status %d; the last sixth of grace begins at %d ms", o.id,
		ended.Sub(ordered).Milliseconds(), o.status, lastSixth.Sub(ordered).Milliseconds())
	return ended.Before(lastSixth) && o.endedAt.Before(ordered.Add(grace+time.Second))
}
