package router

import (
	"github.com/sirupsen/logrus"
)

// Reload applies the settings that may change while the daemon runs: the retry limits. No connection is touched; new addresses take effect
// at the next start.
func (r *Router) Reload(s Settings) {
	addressesDiffer := s.Callers != r.settings.Callers || s.Peers != r.settings.Peers || s.Health != r.settings.Health || s.Instance != r.settings.Instance
	r.retryBudget.SetLimits(s.Repeats)
	r.log.WithFields(logrus.Fields{
		"repeatRatio": s.Repeats.Ratio, "repeatSlack": s.Repeats.Slack, "repeatWindowMs": s.Repeats.Window.Milliseconds(), "addressesDiffer": addressesDiffer,
	}).Info("reload")
}
