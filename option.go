package foxtailhook

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
)

// Option sets one property of a daemon.
type Option func(*Daemon)

// WithSettings replaces all settings; it must precede the options that set single ones.
func WithSettings(settings Settings) Option { return func(d *Daemon) { d.settings = settings } }

// WithLogger sets the logger; the default one writes JSON lines to standard error.
func WithLogger(log *logrus.Logger) Option { return func(d *Daemon) { d.log = log } }

// WithHost sets the names of the host, its service and its availability zone, as in the platform's host list.
func WithHost(host, service, zone string) Option {
	return func(d *Daemon) {
		d.settings.Host, d.settings.Service, d.settings.Zone = host, service, zone
	}
}

// WithListeners sets the listen addresses for callers, peers and operators; peers is also the address that other daemons connect to.
func WithListeners(callers, peers, operators netip.AddrPort) Option {
	return func(d *Daemon) {
		d.settings.Callers, d.settings.Peers, d.settings.Operators = callers, peers, operators
		d.settings.Advertise = peers
	}
}

// WithUpstream sets the address of the upstream and how many requests it can run at once.
func WithUpstream(address netip.AddrPort, slots int) Option {
	return func(d *Daemon) { d.settings.Upstream, d.settings.Slots = address, slots }
}

// WithPlatform sets the address of the platform, the configuration service that publishes the lists.
func WithPlatform(address netip.AddrPort) Option {
	return func(d *Daemon) { d.settings.Platform = address }
}

// WithTimeouts sets the timeout of a request whose caller names none and the maximum that a caller may name.
func WithTimeouts(defaultTimeout, maxTimeout time.Duration) Option {
	return func(d *Daemon) { d.settings.DefaultTimeout, d.settings.MaxTimeout = defaultTimeout, maxTimeout }
}
