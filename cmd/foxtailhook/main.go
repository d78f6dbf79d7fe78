// Command foxtailhook is the daemon beside one upstream.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

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
	if path := boot(); path != "" {
		return onPlatform(path)
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

// onPlatform runs with the platform's settings, which take the place of flags; logs go to standard output there.
func onPlatform(path string) int {
	out := telemetry.NewBuffered(os.Stdout)
	defer func() { _ = out.Close() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return runOnPlatform(ctx, path, telemetry.NewLog(out, logrus.InfoLevel))
}
