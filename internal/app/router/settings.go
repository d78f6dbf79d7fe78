package router

import (
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// Settings configures a router at its start.
type Settings struct {
	// Host names the machine in logs and metrics.
	Host string
	Zone string
	// Regions has the region of each availability zone.
	Regions map[string]string
	// Service is the service of the instance on this host.
	Service string
	// Callers is the address to which callers and the instance on this host send their requests.
	Callers netip.AddrPort
	// Peers is the address for connections of other daemons; the port is the same on all hosts.
	Peers netip.AddrPort
	// Health is the address at which the platform checks whether callers can be sent to this daemon.
	Health netip.AddrPort
	// Metrics is the address that serves counters and histograms; an invalid address disables it.
	Metrics netip.AddrPort
	// Instance is the address of the instance on this host.
	Instance netip.AddrPort
	// Seeds are peers that a starting daemon asks for the published configuration and instances, instead of reading the store, and while the
	// store doesn't answer. A daemon that is a seed itself reads the store at its start.
	Seeds []netip.AddrPort
	// MemoryBytes is the maximum memory of the process, 0 if unknown.
	MemoryBytes int64
	// LinkBytes is the bandwidth of the host's link in bytes per second, 0 if unknown.
	LinkBytes int
	// Descriptors is the maximum number of open files and sockets of the process, 0 if unknown.
	Descriptors int
	// Repeats limits the retries of all daemons together.
	Repeats repeats.Limits
	// ColdLimits bounds the requests to a cold instance.
	ColdLimits ColdLimits
	// LeaveTime is how long the platform waits for the process to end after it ordered the shutdown.
	LeaveTime time.Duration
	// Without has the mechanisms that are disabled.
	Without mechanism.Set
	// DrainTime is the time after which an instance that has started to drain must receive no new requests.
	DrainTime time.Duration
}

// Problems has every fault of the settings.
type Problems []string

// Error lists the faults, one per line.
func (p Problems) Error() string { return strings.Join(p, "\n") }

// Check returns Problems with all faults, or nil.
func (s *Settings) Check() error {
	var problems Problems
	for _, required := range []struct {
		name    string
		address netip.AddrPort
	}{{"callers", s.Callers}, {"peers", s.Peers}, {"health", s.Health}, {"instance", s.Instance}} {
		if !required.address.IsValid() || required.address.Port() == 0 {
			problems = append(problems, "the address of "+required.name+" is missing or is not an IP address with a port")
		}
	}
	if s.Host == "" {
		problems = append(problems, "the host's name is missing")
	}
	if s.Zone == "" {
		problems = append(problems, "the availability zone is missing")
	}
	if s.LeaveTime <= 0 {
		problems = append(problems, "the leave time is missing")
	}
	if s.Repeats.Ratio < 0 || s.Repeats.Slack < 0 || s.Repeats.Window <= 0 {
		problems = append(problems, "the retry limits are missing or negative")
	}
	if s.ColdLimits.Overage < 0 || s.ColdLimits.Slack < 0 {
		problems = append(problems, "the limits of cold instances are negative")
	}
	if len(problems) > 0 {
		return errors.WithStack(problems)
	}
	return nil
}

// memoryLimits returns the limits of the memory that messages may take.
func (s *Settings) memoryLimits() bounded.Limits {
	if s.MemoryBytes == 0 {
		return bounded.LimitsOf(defaultMemoryBytes)
	}
	return bounded.LimitsOf(s.MemoryBytes)
}
