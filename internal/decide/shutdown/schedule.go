package shutdown

import "time"

const (
	// noticePeriod is how long callers are served as usual after the order to shut down. The platform checks health once a second and sends
	// callers to other hosts after two failed checks; if they were not served until then, they would lose requests.
	noticePeriod = 2300 * time.Millisecond
	// instanceUsePeriod is how long other daemons may still use the instance after the order to shut down. The instance is healthy, and its
	// service does without its capacity while the daemon restarts: a third of the service's, with three instances. Other daemons learn of
	// the shutdown within a heartbeat interval.
	instanceUsePeriod = 1900 * time.Millisecond
	// responseTime is how long the responses to requests that are ended may take to reach their callers.
	responseTime = 100 * time.Millisecond
	// Requests at work have workParts of leaveParts of the leave time in any case. If it is so short that closing may take longer than the rest,
	// it is better that the process is killed while it closes than that requests are cut which callers may rely on.
	workParts  = 5
	leaveParts = 6
	// lastPortTime is how long before the cutoff the port begins to close even if runs go on: it takes 50 ms where no connection waits to be
	// accepted, and one that is accepted last has as long until connections close.
	lastPortTime = 100 * time.Millisecond
	// minRetryAfter is the shortest Retry-After of a refusal: the caller finds another host at once.
	minRetryAfter = 300 * time.Millisecond
)

// Closing is how long the last steps of a shutdown take at most.
type Closing struct {
	// Port is the time to close the port without resetting the connections that are being made.
	Port time.Duration
	// Rest is the time from closing the callers' connections to the end of the process.
	Rest time.Duration
}

// Schedule has the times of one shutdown.
type Schedule struct {
	OrderedAt time.Time
	// InstanceUseEnd is when the instance on this host is closed to other daemons.
	InstanceUseEnd time.Time
	// NoticeEnd is when callers have had time to move to other hosts.
	NoticeEnd time.Time
	// PortEnd is when the callers' port begins to close, at the latest, unless runs on this host's instance go on.
	PortEnd time.Time
	// SubcallsEnd is when it begins to close in any case. Until then runs make their sub-calls through it, on new connections, since those that
	// had a response are closed.
	SubcallsEnd time.Time
	// Cutoff is when the requests in flight are ended.
	Cutoff time.Time
	// ConnectionsEnd is when the callers' connections are closed.
	ConnectionsEnd time.Time
}

// New returns the schedule of a shutdown that was ordered at the time and must be over within the leave time.
func New(orderedAt time.Time, leaveTime time.Duration, closing Closing) Schedule {
	cutoff := orderedAt.Add(max(leaveTime-closing.Rest-responseTime, leaveTime*workParts/leaveParts))
	return Schedule{
		OrderedAt:      orderedAt,
		InstanceUseEnd: earlier(orderedAt.Add(instanceUsePeriod), cutoff),
		NoticeEnd:      earlier(orderedAt.Add(noticePeriod), cutoff),
		PortEnd:        cutoff.Add(-closing.Port),
		SubcallsEnd:    cutoff.Add(-min(closing.Port, lastPortTime)),
		Cutoff:         cutoff,
		ConnectionsEnd: cutoff.Add(responseTime),
	}
}

// Refuses reports whether a caller's request that arrives now is refused although a run might end in time: callers have had time to move to
// other hosts, and the request may last longer than the process.
func (s Schedule) Refuses(arrivedAt, deadline time.Time) bool {
	return arrivedAt.After(s.NoticeEnd) && deadline.After(s.Cutoff)
}

// RetryAfter returns the Retry-After of a refusal: before the end of the notice period, the caller would come back to this host.
func (s Schedule) RetryAfter(now time.Time) time.Duration {
	return max(s.NoticeEnd.Sub(now), 0) + minRetryAfter
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
