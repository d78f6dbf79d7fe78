package router

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
)

// content returns what makes the request the same as others for the instance.
func (req *runRequest) content() *quarantine.Content {
	return &quarantine.Content{
		Organisation: req.Organisation, Route: req.Route, Method: req.Method, Host: req.HTTPHost, Target: req.Target, Body: req.Body,
	}
}

// suspect returns the request as one that was at work at a crash.
func (e *executor) suspect(req *runRequest) suspect {
	salt := e.quarantine.Salt()
	return suspect{requestID: req.RequestID, route: req.Route, salt: salt, fingerprint: req.content().Fingerprint(salt)}
}

// instanceCrashed logs a crash of the instance with what was at work there.
func (e *executor) instanceCrashed(suspects []suspect) {
	e.mu.Lock()
	id, planned := e.current.ID, !e.drainingSince.IsZero()
	e.mu.Unlock()
	e.warmUp.metrics.Counter(telemetry.InstanceCrashes).Inc(1)
	var named []string
	for i := range suspects[:min(len(suspects), maxLoggedSuspects)] {
		named = append(named, fmt.Sprintf("%s %s %016x", suspects[i].requestID, suspects[i].route, suspects[i].fingerprint))
	}
	e.warmUp.log.WithFields(logrus.Fields{"instance": id, "draining": planned, "atWork": len(suspects), "suspects": named}).Warn("instance crashed")
}

// maxLoggedSuspects bounds the requests that one log line on a crash names.
const maxLoggedSuspects = 20
