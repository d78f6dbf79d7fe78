// Command standin plays the platform or an upstream in demos and tests.
package main

import (
	"context"
	"errors"
	"flag"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/foxtailhook/foxtailhook/internal/app/program"
	"github.com/foxtailhook/foxtailhook/internal/standin/platform"
	"github.com/foxtailhook/foxtailhook/internal/standin/upstream"
)

func main() {
	os.Exit(program.Run("standin", "Plays an outside system in demos and tests.", platformCommand(), upstreamCommand()))
}

func platformCommand() *ffcli.Command {
	fs := flag.NewFlagSet("standin platform", flag.ExitOnError)
	listen := fs.String("listen", "127.0.0.1:9000", "IP:port to listen on")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "standin platform [flags]",
		ShortHelp:  "The configuration service: lists with versions, read and watch.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *listen, platform.NewStore().Handler())
		},
	}
}

func upstreamCommand() *ffcli.Command {
	fs := flag.NewFlagSet("standin upstream", flag.ExitOnError)
	listen := fs.String("listen", "127.0.0.1:8000", "IP:port to listen on")
	daemon := fs.String("daemon", "127.0.0.1:7000", "IP:port of the daemon beside it")
	var c upstream.Config
	fs.StringVar(&c.Host, "host", "host", "name of the host")
	fs.StringVar(&c.Service, "service", "service", "name of the service")
	fs.IntVar(&c.Slots, "slots", 64, "requests run at once; more are shed")
	fs.DurationVar(&c.Latency, "latency", 2*time.Millisecond, "time for one request")
	fs.IntVar(&c.Retries, "retries", 0, "how often its own call is repeated when it fails")
	fs.BoolVar(&c.Lossy, "lossy", false, "close the connection in place of each answer")
	fs.BoolVar(&c.Countdown, "countdown", false, "take the body as the number of calls below, and pass on one less")
	fs.BoolVar(&c.Trace, "trace", false, "keep each run with its time")
	fs.StringVar(&c.Next, "next", "", "path that each request calls on through the daemon")
	return &ffcli.Command{
		Name:       "upstream",
		ShortUsage: "standin upstream [flags]",
		ShortHelp:  "An upstream with slots, latency and calls of its own.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			address, err := netip.ParseAddrPort(*daemon)
			if err != nil {
				return err
			}
			c.Daemon = address
			return serve(ctx, *listen, upstream.New(c).Handler())
		},
	}
}

func serve(ctx context.Context, listen string, handler http.Handler) error {
	server := &http.Server{Addr: listen, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
