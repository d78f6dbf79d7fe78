package foxtailhook

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/daemon"
	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
)

// Daemon is one process's share of the overload control layer.
type Daemon struct {
	settings Settings
	log      *logrus.Logger
}

// New returns a daemon with the defaults of cmd/foxtailhook, changed by the options.
func New(opts ...Option) *Daemon {
	d := &Daemon{settings: DefaultSettings()}
	for _, opt := range opts {
		opt(d)
	}
	if d.log == nil {
		d.log = telemetry.NewLog(os.Stderr, d.settings.LogLevel)
	}
	return d
}

// Run serves until ctx ends and then drains; the error is Problems with every
// fault of the settings, or tells why a listener failed.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.settings.Check(); err != nil {
		return err
	}
	return daemon.New(d.settings, d.log).Run(ctx)
}
