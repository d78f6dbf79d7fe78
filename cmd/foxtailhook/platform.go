package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/router"
	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/platform"
)

// settingsVariable names the environment variable with the path of the settings file that the users' platform writes. If it is
// set, the daemon runs on that platform.
const settingsVariable = "FOXTAILHOOK_BOOT"

// memoryFraction is the Go runtime's soft memory limit as a fraction of the process's memory. The rest is left for socket buffers,
// C stacks and data that arrives during a collection.
const memoryFraction = 0.6

// gcPercent is how much the heap may grow before the next garbage collection. With Go's default of 100, a daemon with a heap of some
// megabytes would collect several times a second.
const gcPercent = 200

// settingsPollInterval is the time between two checks of the settings file, which may change without a SIGHUP.
const settingsPollInterval = time.Second

// settingsPath returns the path of the platform's settings file, or "".
func settingsPath() string { return os.Getenv(settingsVariable) }

// runOnPlatform serves with the platform's settings file instead of flags until SIGTERM or SIGINT, and returns the exit code.
// The platform reads logs from standard output.
func runOnPlatform(path string) int {
	out := telemetry.NewBuffered(os.Stdout)
	defer func() { _ = out.Close() }()
	log := telemetry.NewLog(out, logrus.InfoLevel)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := platform.ReadSettings(path)
	if err == nil {
		s.Router.Without, err = disabledMechanisms(os.Args[1:])
	}
	if err != nil {
		log.WithError(err).Error("stopped")
		return exitSettings
	}
	if s.Router.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.Router.MemoryBytes) * memoryFraction))
	}
	debug.SetGCPercent(gcPercent)
	store := platform.NewStore(s.Store)
	r := router.New(s.Router, store, platform.Heads{}, log)
	go watchSettings(ctx, path, hangup, func() { reload(path, store, r, log) })
	if err := r.Run(ctx); err != nil {
		log.WithError(err).Error("stopped")
		return exitFailed
	}
	return 0
}

// disabledMechanisms reads the disabled mechanisms from the flag or its environment variable.
func disabledMechanisms(args []string) (mechanism.Set, error) {
	fs := flag.NewFlagSet("foxtailhook", flag.ContinueOnError)
	names := fs.String("without", "", "mechanisms that are switched off, separated by commas: "+strings.Join(mechanism.Names(), ", "))
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("FOXTAILHOOK")); err != nil {
		return mechanism.Set{}, err
	}
	set, err := mechanism.Parse(*names)
	return set, errors.Wrap(err, "-without")
}

// watchSettings calls reload after each SIGHUP and each change of the settings file.
func watchSettings(ctx context.Context, path string, hangup <-chan os.Signal, reload func()) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	last := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			last = modTime(path)
			reload()
		case <-tick.C:
			if at := modTime(path); !at.Equal(last) {
				last = at
				reload()
			}
		}
	}
}

// modTime returns the file's modification time; zero if its status can't be read, so that a later poll sees a change.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings that may change while the daemon runs. Faulty settings are logged and change nothing.
func reload(path string, store *platform.Store, r *router.Router, log *logrus.Logger) {
	s, err := platform.ReadSettings(path)
	if err != nil {
		log.WithError(err).Error("settings not taken over")
		return
	}
	store.Move(s.Store)
	r.Reload(s.Router)
}
