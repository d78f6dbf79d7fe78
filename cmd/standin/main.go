// Command standin is a stand-in for the configuration service or an upstream, for demos and tests.
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
	os.Exit(program.Run("standin", "Runs a stand-in for an external system, for demos and tests.", platformCommand(), upstreamCommand()))
}

func platformCommand() *ffcli.Command {
	fs := flag.NewFlagSet("standin platform", flag.ExitOnError)
	listen := fs.String("listen", "127.0.0.1:9000", "IP:port to listen on")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "standin platform [flags]",
		ShortHelp:  "The configuration service: versioned lists to read and watch.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *listen, platform.NewStore().Handler())
		},
	}
}

func upstreamCommand() *ffcli.Command {
	fs := flag.NewFlagSet("standin upstream", flag.ExitOnError)
	listen := fs.String("listen", "127.0.0.1:8000", "IP:port to listen on")
	daemon := fs.String("daemon", "127.0.0.1:7000", "IP:port of the daemon on the same host")
	var c upstream.Config
	fs.StringVar(&c.Host, "host", "host", "name of the host")
	fs.StringVar(&c.Service, "service", "service", "name of the service")
	fs.IntVar(&c.Slots, "slots", 64, "requests that run at once; further ones are shed")
	fs.DurationVar(&c.Latency, "latency", 2*time.Millisecond, "latency of one request")
	fs.IntVar(&c.Retries, "retries", 0, "how often a failed sub-call is retried")
	fs.BoolVar(&c.Lossy, "lossy", false, "close the connection instead of responding")
	fs.BoolVar(&c.Countdown, "countdown", false, "read the body as the remaining depth of sub-calls, and send one less with the sub-call")
	fs.BoolVar(&c.Trace, "trace", false, "keep a record of each run")
	fs.StringVar(&c.Next, "next", "", "path of the sub-call that each request makes through the daemon")
	return &ffcli.Command{
		Name:       "upstream",
		ShortUsage: "standin upstream [flags]",
		ShortHelp:  "An upstream with slots, a latency and sub-calls.",
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
