package foxtailhook

import (
	"io"

	"github.com/foxtailhook/foxtailhook/internal/app/settings"
)

// Settings is everything a daemon is told at its start; docs/OPERATIONS.md lists each with unit, default and bounds.
type Settings = settings.Settings

// Problems is the error of settings with faults, one for each.
type Problems = settings.Problems

// DefaultSettings returns the settings of a daemon that is told nothing; host, service and availability zone are missing.
func DefaultSettings() Settings { return settings.Default() }

// ParseSettings reads flags and the environment as cmd/foxtailhook does; the
// error is flag.ErrHelp once help was written, or Problems with every fault.
func ParseSettings(args []string, help io.Writer) (Settings, error) {
	return settings.Parse(args, help)
}
