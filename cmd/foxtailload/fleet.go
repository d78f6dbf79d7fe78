package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/load/changes"
)

// fleetFlags are the flags that name the fleet to measure.
type fleetFlags struct {
	platform string
	file     string
	wait     time.Duration
}

func (f *fleetFlags) bind(fs *flag.FlagSet) {
	fs.StringVar(&f.platform, "platform", "127.0.0.1:9000", "IP:port of the stand-in platform")
	fs.StringVar(&f.file, "fleet", "", "JSON array of the daemons with host, zone, peer, callers, operators, pid and log")
	fs.DurationVar(&f.wait, "wait", 5*time.Minute, "longest time for the whole measurement")
}

// measure reads the fleet into the plan, runs the measurement and prints its result as one JSON line.
func (f *fleetFlags) measure(ctx context.Context, p *changes.Plan, run func(context.Context) (any, error)) error {
	address, err := netip.ParseAddrPort(f.platform)
	if err != nil {
		return err
	}
	p.Platform = address
	if p.Daemons, err = changes.ReadFleet(f.file); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.wait)
	defer cancel()
	result, err := run(ctx)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(result)
}
