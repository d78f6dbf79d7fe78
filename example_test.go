package foxtailhook_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// discardLogger returns a logger without output.
func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// A program runs the daemon in front of its own upstream; the daemon drains
// when the context is done.
func ExampleDaemon_Run() {
	settings := foxtailhook.DefaultSettings()
	settings.LeaveTime = 0
	daemon := foxtailhook.New(
		foxtailhook.WithSettings(settings),
		foxtailhook.WithHost("lookup-1", "lookup", "a"),
		foxtailhook.WithListeners(loopback.Address(), loopback.Address(), loopback.Address()),
		foxtailhook.WithUpstream(netip.MustParseAddrPort("127.0.0.1:8000"), 35),
		foxtailhook.WithPlatform(netip.MustParseAddrPort("127.0.0.1:9000")),
		foxtailhook.WithLogger(discardLogger()),
	)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	fmt.Println("ended with:", daemon.Run(ctx))
	// Output: ended with: <nil>
}

// Invalid settings keep the daemon from starting; the error lists every fault.
func ExampleDaemon_Run_faults() {
	daemon := foxtailhook.New(
		foxtailhook.WithHost("lookup-1", "lookup", ""),
		foxtailhook.WithUpstream(netip.MustParseAddrPort("127.0.0.1:8000"), 0),
		foxtailhook.WithLogger(discardLogger()),
	)
	fmt.Println(daemon.Run(context.Background()))
	// Output:
	// -slots: 0 is not from 1 to 100000
	// -zone must be given, without blanks, quotes or slashes
}

// An embedding program reads the same flags and environment variables as
// cmd/foxtailhook.
func ExampleParseSettings() {
	settings, err := foxtailhook.ParseSettings([]string{"-host", "lookup-1", "-service", "lookup", "-zone", "a", "-slots", "35"}, io.Discard)
	fmt.Println(settings.Slots, settings.DefaultTimeout, err)
	_, err = foxtailhook.ParseSettings([]string{"-host", "lookup-1", "-service", "lookup", "-zone", "a", "-slots", "many"}, io.Discard)
	fmt.Println(err)
	// Output:
	// 35 5s <nil>
	// -slots: "many" is not a whole number from 1 to 100000
}
