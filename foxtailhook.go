package foxtailhook

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/daemon"
	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
)

// Daemon is the overload control layer on one host.
type Daemon struct {
	settings Settings
	log      *logrus.Logger
}

// New returns a daemon with the default settings of cmd/foxtailhook and the options applied.
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

// Run serves until ctx is done and then drains; the error is Problems with
// every fault of the settings, or says why a listener failed.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.settings.Check(); err != nil {
		return err
	}
	return daemon.New(d.settings, d.log).Run(ctx)
}
