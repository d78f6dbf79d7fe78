// Package settings reads the daemon's flags and environment variables and checks them as a whole.
package settings
