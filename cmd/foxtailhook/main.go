// Command foxtailhook is the daemon that runs on the host of one upstream.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/foxtailhook/foxtailhook"
	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	if path := settingsPath(); path != "" {
		return runOnPlatform(path)
	}
	s, err := foxtailhook.ParseSettings(os.Args[1:], os.Stdout)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "foxtailhook: the settings have faults:\n%v\n", err)
		return exitSettings
	}
	out := telemetry.NewBuffered(os.Stderr)
	defer func() { _ = out.Close() }()
	log := telemetry.NewLog(out, s.LogLevel)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := foxtailhook.New(foxtailhook.WithSettings(s), foxtailhook.WithLogger(log)).Run(ctx); err != nil {
		log.WithError(err).Error("stopped")
		return exitFailed
	}
	return 0
}
