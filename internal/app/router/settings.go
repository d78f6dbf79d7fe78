package router

import (
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
)

// Settings is what a router is told at its start.
type Settings struct {
	// Host names the machine in logs and metrics.
	Host string
	Zone string
	// Service is that of the instance beside the router.
	Service string
	// Callers is where callers and the instance on this host send their requests.
	Callers netip.AddrPort
	// Peers is where other daemons come in; the port is the same on all hosts.
	Peers netip.AddrPort
	// Health is where the platform asks whether callers can be sent here.
	Health netip.AddrPort
	// Metrics is where counters and histograms are read; an invalid address means nowhere.
	Metrics netip.AddrPort
	// Instance is the address of the instance beside the router.
	Instance netip.AddrPort
	// Seeds are peers that a starting daemon asks when the store doesn't answer.
	Seeds []netip.AddrPort
	// MemoryBytes is the most memory that the process may take, 0 if unknown.
	MemoryBytes int64
	// Descriptors is how many files and sockets the process may have open, 0 if unknown.
	Descriptors int
	// Repeats bounds what all daemons send once more.
	Repeats repeats.Limits
	// LeaveTime is how long the platform waits for the process to end after it asked it to.
	LeaveTime time.Duration
	// Without are the mechanisms that are switched off.
	Without mechanism.Set
	// DrainTime is within how long nothing new may reach an instance that leaves.
	DrainTime time.Duration
}

// Problems is every fault of settings.
type Problems []string

// Error lists them, a line each.
func (p Problems) Error() string { return strings.Join(p, "\n") }

// Check returns Problems with all faults, or nil.
func (s *Settings) Check() error {
	var found Problems
	for _, a := range []struct {
		name    string
		address netip.AddrPort
	}{{"callers", s.Callers}, {"peers", s.Peers}, {"health", s.Health}, {"instance", s.Instance}} {
		if !a.address.IsValid() || a.address.Port() == 0 {
			found = append(found, "the address of "+a.name+" is missing or is not an IP number with a port")
		}
	}
	if s.Host == "" {
		found = append(found, "the host's name is missing")
	}
	if s.Zone == "" {
		found = append(found, "the availability zone is missing")
	}
	if s.LeaveTime <= 0 {
		found = append(found, "the time to leave is missing")
	}
	if s.Repeats.Ratio < 0 || s.Repeats.Slack < 0 || s.Repeats.Window <= 0 {
		found = append(found, "the bounds of repeats are missing or negative")
	}
	if len(found) > 0 {
		return errors.WithStack(found)
	}
	return nil
}
