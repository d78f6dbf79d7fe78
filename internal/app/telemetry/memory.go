package telemetry

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// Memory reports the memory that messages take, by purpose.
type Memory struct {
	account *bounded.Account
	log     *logrus.Logger
	scopes  [bounded.Purposes]Scope
	last    [bounded.Purposes]bounded.Usage
}

// NewMemory returns a report on the account.
func NewMemory(account *bounded.Account, scope Scope, log *logrus.Logger) *Memory {
	m := &Memory{account: account, log: log}
	for p := range m.scopes {
		m.scopes[p] = scope.Tagged(map[string]string{"purpose": bounded.Purpose(p).String()})
	}
	return m
}

// Report updates the metrics, and logs the purposes that lacked memory since the last report.
func (m *Memory) Report() {
	for p := range m.scopes {
		usage, last := m.account.Usage(bounded.Purpose(p)), m.last[p]
		m.last[p] = usage
		waits, refusals := usage.Waits-last.Waits, usage.Refusals-last.Refusals
		m.scopes[p].Gauge(MemoryHeld).Update(float64(usage.Bytes))
		m.scopes[p].Counter(MemoryWaits).Inc(int64(waits))
		m.scopes[p].Counter(MemoryRefusals).Inc(int64(refusals))
		if waits+refusals > 0 {
			m.log.WithFields(logrus.Fields{
				"purpose": bounded.Purpose(p).String(), "heldBytes": usage.Bytes, "waiting": usage.Waiting, "waits": waits, "refusals": refusals,
			}).Info("memory short")
		}
	}
}
