package chain

import "github.com/foxtailhook/foxtailhook/internal/decide/budget"

// subcalls is the set of concurrent sub-calls that an upstream makes for one request.
type subcalls struct {
	execution *execution
	account   *budget.Account
	pending   int
	combined  answer
}

// sendSubcalls calls the next service on the path once the instance's own work is done.
func (e *execution) sendSubcalls() {
	if e.request.last() {
		e.end(answer{ok: true, unusedRuns: e.runs - 1})
		return
	}
	f, o := e.host.fleet, e.request.operation
	account := budget.NewFor(e.runs-1, e.host.subcallNeeds.Expect(o.Name, e.request.hop+1))
	e.subcallsStarted = f.clock.Now
	s := &subcalls{execution: e, account: account, pending: 1, combined: answer{ok: true}}
	if e.request.hop == o.FanOutHop {
		s.pending = max(o.FanOut, 1)
	}
	for range s.pending {
		s.send(f.deployment.UpstreamRetries)
	}
}

// send makes one sub-call, which the upstream retries if it fails.
func (s *subcalls) send(retriesLeft int) {
	next := s.execution.request
	next.hop++
	s.execution.host.dispatch(next, s.account, func(a answer) {
		if !a.ok && retriesLeft > 0 && !s.execution.ended {
			s.send(retriesLeft - 1)
			return
		}
		s.handleResponse(a)
	})
}

func (s *subcalls) handleResponse(a answer) {
	s.pending--
	s.combined.ok = s.combined.ok && a.ok
	s.combined.pressure = max(s.combined.pressure, a.pressure)
	if s.pending > 0 {
		return
	}
	s.combined.subcallFailed, s.combined.unusedRuns = !s.combined.ok, s.account.Close()
	granted := s.execution.runs - 1
	s.execution.host.subcallNeeds.Learn(s.execution.request.operation.Name, granted, granted-s.combined.unusedRuns, s.combined.ok)
	s.execution.end(s.combined)
}
