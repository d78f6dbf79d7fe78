// Command foxtailload sends traffic to a fleet, checks every response and acts as the operators in demos.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/foxtailhook/foxtailhook/internal/app/program"
	"github.com/foxtailhook/foxtailhook/internal/load/traffic"
)

func main() {
	os.Exit(program.Run("foxtailload", "Sends traffic to a fleet and checks every response.",
		runCommand(), publishCommand(), readyCommand(), changesCommand(), demandCommand(), latencyCommand()))
}

func runCommand() *ffcli.Command {
	fs := flag.NewFlagSet("foxtailload run", flag.ExitOnError)
	path := fs.String("plan", "", "JSON file with daemons, streams and events")
	report := fs.String("report", "", "folder for report.md and seconds.csv, with outcomes and latencies second by second")
	return &ffcli.Command{
		Name: "run", ShortUsage: "foxtailload run -plan FILE [-report DIR]", FlagSet: fs,
		ShortHelp: "Sends a plan's traffic; progress on standard error, one JSON line on standard output.",
		Exec: func(ctx context.Context, _ []string) error {
			plan, err := traffic.ReadPlan(*path)
			if err != nil {
				return err
			}
			runner := traffic.NewRunner(plan, os.Stderr)
			result, err := runner.Run(ctx)
			if encodeErr := json.NewEncoder(os.Stdout).Encode(result); encodeErr != nil {
				return encodeErr
			}
			if err != nil || *report == "" {
				return err
			}
			return (&traffic.Report{Plan: plan, Result: result, Seconds: runner.Timeline()}).Save(*report)
		},
	}
}

func publishCommand() *ffcli.Command {
	fs := flag.NewFlagSet("foxtailload publish", flag.ExitOnError)
	platform := fs.String("platform", "127.0.0.1:9000", "IP:port of the stand-in platform")
	list := fs.String("list", "", "plans, uses, keys or hosts")
	file := fs.String("file", "", "JSON file with the value")
	return &ffcli.Command{
		Name: "publish", ShortUsage: "foxtailload publish -list NAME -file FILE", FlagSet: fs,
		ShortHelp: "Publishes a list at the stand-in platform.",
		Exec: func(ctx context.Context, _ []string) error {
			return traffic.SendOperatorRequest(ctx, http.MethodPut, "http://"+*platform+"/v1/lists/"+*list, *file)
		},
	}
}

func readyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("foxtailload ready", flag.ExitOnError)
	operators := fs.String("operators", "", "operators' addresses of the daemons, IP:port separated by commas")
	wait := fs.Duration("wait", 10*time.Second, "longest wait")
	return &ffcli.Command{
		Name: "ready", ShortUsage: "foxtailload ready -operators A,B,C", FlagSet: fs,
		ShortHelp: "Waits until every daemon is ready.",
		Exec: func(ctx context.Context, _ []string) error {
			var all []netip.AddrPort
			for _, raw := range strings.Split(*operators, ",") {
				a, err := netip.ParseAddrPort(raw)
				if err != nil {
					return err
				}
				all = append(all, a)
			}
			ctx, cancel := context.WithTimeout(ctx, *wait)
			defer cancel()
			return traffic.AwaitReady(ctx, all)
		},
	}
}
