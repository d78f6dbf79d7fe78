package foxtailhook

import (
	"io"

	"github.com/foxtailhook/foxtailhook/internal/app/settings"
)

// Settings has all settings of a daemon; docs/SETTINGS.md lists each with unit, default and bounds.
type Settings = settings.Settings

// Problems is the error of invalid settings, with one text for each fault.
type Problems = settings.Problems

// DefaultSettings returns the default settings; host, service and availability zone have none and must be set.
func DefaultSettings() Settings { return settings.Default() }

// ParseSettings reads flags and environment variables as cmd/foxtailhook does;
// the error is flag.ErrHelp if help was requested, or Problems with every fault.
func ParseSettings(args []string, help io.Writer) (Settings, error) {
	return settings.Parse(args, help)
}
