// Package fresh decides whether a daemon's snapshot of the published configuration is current, and which daemons must follow the
// configuration store themselves.
package fresh
