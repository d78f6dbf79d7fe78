package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/router"
	"github.com/foxtailhook/foxtailhook/platform"
)

// bootVariable names the settings file of the users' platform; where it is set, the daemon runs there.
const bootVariable = "FOXTAILHOOK_BOOT"

// memoryPart is the part of the process's memory that Go may fill before it collects with all its might; the rest is for
// sockets' buffers, stacks of C and bytes that arrive meanwhile.
const memoryPart = 0.6

// runOnPlatform serves with the settings of the platform until ctx ends, and returns the exit code.
func runOnPlatform(ctx context.Context, path string, log *logrus.Logger) int {
	s, err := platform.ReadSettings(path)
	if err != nil {
		log.WithError(err).Error("stopped")
		return exitSettings
	}
	if s.Router.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.Router.MemoryBytes) * memoryPart))
	}
	if err := router.New(s.Router, platform.NewStore(s.Store), platform.Heads{}, log).Run(ctx); err != nil {
		log.WithError(err).Error("stopped")
		return exitFailed
	}
	return 0
}

// boot returns the path of the platform's settings file, or "".
func boot() string { return os.Getenv(bootVariable) }
