package router

import (
	"github.com/sirupsen/logrus"
)

// Reload takes over what may change while the daemon runs: the bounds of repeats. No connection is touched; addresses hold until the next start.
func (r *Router) Reload(s Settings) {
	moved := s.Callers != r.settings.Callers || s.Peers != r.settings.Peers || s.Health != r.settings.Health || s.Instance != r.settings.Instance
	r.repeats.SetLimits(s.Repeats)
	r.log.WithFields(logrus.Fields{
		"repeatRatio": s.Repeats.Ratio, "repeatSlack": s.Repeats.Slack, "repeatWindowMs": s.Repeats.Window.Milliseconds(), "addressesDiffer": moved,
	}).Info("reload")
}
