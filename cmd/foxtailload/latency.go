package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/load/latency"
)

func latencyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("foxtailload latency", flag.ExitOnError)
	ways := fs.String("ways", "", "paths to the upstream as NAME=URL, separated by commas, the direct one first")
	key := fs.String("key", "", "organisation key")
	rate := fs.Int("rate", 68, "requests per second on each path")
	length := fs.Duration("length", 20*time.Second, "length of the measurement")
	warmUp := fs.Duration("warm-up", 3*time.Second, "time before the measurement, not counted")
	return &ffcli.Command{
		Name: "latency", ShortUsage: "foxtailload latency -ways direct=URL,hop=URL -key K", FlagSet: fs,
		ShortHelp: "Measures several paths to an upstream at the same time; one JSON line for each on standard output.",
		Exec: func(ctx context.Context, _ []string) error {
			plan := latency.Plan{Key: *key, Rate: *rate, Length: *length, WarmUp: *warmUp}
			for _, way := range strings.Split(*ways, ",") {
				name, url, ok := strings.Cut(way, "=")
				if !ok {
					return errors.Errorf("-ways: %q is not NAME=URL", way)
				}
				plan.Ways = append(plan.Ways, latency.Way{Name: name, URL: url})
			}
			results, err := latency.Run(ctx, plan)
			if err != nil {
				return err
			}
			out := json.NewEncoder(os.Stdout)
			for _, r := range results {
				if err := out.Encode(r); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
