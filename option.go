package foxtailhook

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
)

// Option sets one property of a daemon.
type Option func(*Daemon)

// WithSettings takes over all settings at once, and goes before the options that set one of them.
func WithSettings(s Settings) Option { return func(d *Daemon) { d.settings = s } }

// WithLogger sets where decisions are logged, standard error as JSON lines by default.
func WithLogger(log *logrus.Logger) Option { return func(d *Daemon) { d.log = log } }

// WithHost names the host, its service and its availability zone, as in the platform's list.
func WithHost(host, service, zone string) Option {
	return func(d *Daemon) {
		d.settings.Host, d.settings.Service, d.settings.Zone = host, service, zone
	}
}

// WithListeners sets the addresses for callers, peers and operators.
func WithListeners(callers, peers, operators netip.AddrPort) Option {
	return func(d *Daemon) {
		d.settings.Callers, d.settings.Peers, d.settings.Operators = callers, peers, operators
		d.settings.Advertise = peers
	}
}

// WithUpstream sets the address of the upstream and how many requests it runs at once.
func WithUpstream(address netip.AddrPort, slots int) Option {
	return func(d *Daemon) { d.settings.Upstream, d.settings.Slots = address, slots }
}

// WithPlatform sets the address of the configuration service.
func WithPlatform(address netip.AddrPort) Option {
	return func(d *Daemon) { d.settings.Platform = address }
}

// WithTimeouts sets the time for a request whose caller names none and the longest that a caller may name.
func WithTimeouts(standard, longest time.Duration) Option {
	return func(d *Daemon) { d.settings.DefaultTimeout, d.settings.MaxTimeout = standard, longest }
}
