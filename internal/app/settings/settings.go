package settings

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/placing"
	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// EnvPrefix precedes a flag's name in its environment variable, as in FOXTAILHOOK_HOST.
const EnvPrefix = "FOXTAILHOOK"

// Settings is the configuration of a daemon, which it receives at its start.
type Settings struct {
	Guards

	Host    string
	Service string
	Region  string
	Zone    string

	Callers   netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
	Upstream  netip.AddrPort
	Platform  netip.AddrPort
	Seeds     []netip.AddrPort

	Slots          int
	Limit          limit.Kind
	Queue          queue.Kind
	QueueTime      time.Duration
	QueueLength    int
	Placing        placing.Kind
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	DefaultRuns    int
	BodyBound      int
	MaxConns       int
	LeaveTime      time.Duration
	DrainTime      time.Duration
	Watch          time.Duration
	IsolationTime  time.Duration
	LogLevel       logrus.Level

	// Advertise is the address under which the host list names this daemon; peers connect to it. By default it is Peers.
	Advertise netip.AddrPort
	Fence     time.Duration
	Loan      time.Duration
	Shards    int
}

// Problems lists every fault of the settings; its error text has one line for each.
type Problems []string

// Error returns the problems, one per line.
func (p Problems) Error() string { return strings.Join(p, "\n") }

// Parse reads flags and environment variables; the error is flag.ErrHelp, or Problems with every fault.
func Parse(args []string, help io.Writer) (Settings, error) {
	var s Settings
	fs := flag.NewFlagSet("foxtailhook", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.Usage = func() { usage(fs, help) }
	b := &binder{fs: fs}
	s.bind(b)
	known, unknown := separateUnknown(fs, args)
	for _, name := range unknown {
		b.fault("%s is not a setting; -h lists them", name)
	}
	if err := ff.Parse(fs, known, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return s, flag.ErrHelp
		}
		return s, append(b.problems, err.Error())
	}
	if rest := fs.Args(); len(rest) > 0 {
		b.fault("unexpected argument %q", rest[0])
	}
	b.resolve()
	s.check(b)
	if len(b.problems) > 0 {
		return s, b.problems
	}
	return s, nil
}

// Default returns the default settings; host, service and availability zone have none and are empty.
func Default() Settings {
	var s Settings
	b := &binder{fs: flag.NewFlagSet("foxtailhook", flag.ContinueOnError)}
	s.bind(b)
	b.resolve()
	return s
}

// Check checks settings that were assigned rather than parsed; it returns Problems with every fault, or nil.
func (s *Settings) Check() error {
	b := &binder{fs: flag.NewFlagSet("foxtailhook", flag.ContinueOnError)}
	var checked Settings
	checked.bind(b)
	checked = *s // bind wrote the defaults; the bounds are checked on the assigned values.
	b.checkBounds()
	checked.check(b)
	if len(b.problems) > 0 {
		return b.problems
	}
	return nil
}

func (s *Settings) bind(b *binder) {
	b.text(&s.Host, "host", "", "name of this host, as in the platform's list")
	b.text(&s.Service, "service", "", "service of the upstream beside this daemon")
	b.text(&s.Region, "region", "default", "region of this host, as in the hosts list; requests stay in it while it serves them")
	b.text(&s.Zone, "zone", "", "availability zone of this host")
	b.address(&s.Callers, "callers", "127.0.0.1:7000", "IP:port where callers and the local upstream come in (HTTP)")
	b.address(&s.Peers, "peers", "127.0.0.1:7001", "IP:port where other daemons come in")
	b.address(&s.Operators, "operators", "127.0.0.1:7002", "IP:port for health, status and metrics (HTTP)")
	b.address(&s.Upstream, "upstream", "127.0.0.1:8000", "IP:port of the upstream beside this daemon (HTTP)")
	b.address(&s.Platform, "platform", "127.0.0.1:9000", "IP:port of the configuration service (HTTP, read only)")
	b.addresses(&s.Seeds, "seeds", "", "IP:port of some peers, separated by commas, that a starting daemon asks before it reads the platform")
	b.count(&s.Slots, "slots", 64, "most requests that the upstream runs at once; the learned limit stays at or below it", 1, 100_000)
	choice(b, &s.Limit, "limit", limit.Gradient, "how the limit is found: gradient, aimd or fixed (at -slots)", limit.ParseKind)
	choice(b, &s.Queue, "queue", queue.Fair, "order of waiting requests: fair, fifo or lifo", queue.ParseKind)
	b.duration(&s.QueueTime, "queue-time", admission.DefaultWait, "longest wait for a slot", time.Millisecond, 10*time.Second)
	b.count(&s.QueueLength, "queue-length", admission.DefaultLength, "most requests that wait for a slot", 1, 100_000)
	choice(b, &s.Placing, "placing", placing.TwoChoices, "how a host is chosen: twoChoices, roundRobin or leastLatency", placing.ParseKind)
	b.duration(&s.DefaultTimeout, "default-timeout", 5*time.Second, "time for a request whose caller names none", time.Millisecond, time.Hour)
	b.duration(&s.MaxTimeout, "max-timeout", 2*time.Minute, "longest time that a caller may name", time.Millisecond, time.Hour)
	b.count(&s.DefaultRuns, "default-runs", 32, "upstream runs that one request may cause over its whole call chain", 1, 1<<16)
	b.count(&s.BodyBound, "body-bound", 64<<20, "bytes of the largest request or answer body", 1024, 1<<30)
	b.count(&s.MaxConns, "max-conns", 10_000, "open connections of callers", 1, 1_000_000)
	b.duration(&s.LeaveTime, "leave-time", 2*time.Second, "time between refusing new work and closing, so that others notice", 0, time.Minute)
	b.duration(&s.DrainTime, "drain-time", 2*time.Minute, "longest wait for requests in flight at shutdown", time.Second, time.Hour)
	b.duration(&s.Watch, "watch", 30*time.Second, "length of one watch at the platform", 100*time.Millisecond, 5*time.Minute)
	b.advertised(&s.Advertise, &s.Peers)
	b.duration(&s.Fence, "fence", rate.DefaultFence, "time until the rate shards of a host that vanished are taken over; the same on all hosts", time.Second, 24*time.Hour)
	b.duration(&s.Loan, "loan", rate.DefaultLoan, "time that lent tokens may be spent; the same on all hosts", 10*time.Millisecond, time.Minute)
	b.count(&s.Shards, "shards", rate.DefaultShards, "pieces that each rate is cut into; the same on all hosts, changed only while all are stopped", 1, 64)
	b.duration(&s.IsolationTime, "isolation-time", time.Minute, "time after which a daemon that neither a peer nor the platform answers takes no more callers; 0 is never", 0, 24*time.Hour)
	s.Guards.bind(b)
	b.level(&s.LogLevel, "log-level", "info", "error, warn, info (a line for each decision) or debug")
}

func (s *Settings) check(b *binder) {
	b.required("host", s.Host)
	b.required("service", s.Service)
	b.required("zone", s.Zone)
	if s.MaxTimeout < s.DefaultTimeout {
		b.fault("-max-timeout (%s) is below -default-timeout (%s)", s.MaxTimeout, s.DefaultTimeout)
	}
	if err := s.Limits().Check(); err != nil {
		b.fault("%v", err)
	}
	s.checkGuards(b)
	flagByAddress := map[netip.AddrPort]string{}
	listeners := []struct {
		flag    string
		address netip.AddrPort
	}{{"callers", s.Callers}, {"peers", s.Peers}, {"operators", s.Operators}}
	for _, listener := range listeners {
		if first, dup := flagByAddress[listener.address]; dup && listener.address.IsValid() {
			b.fault("-%s and -%s are both %s", first, listener.flag, listener.address)
		}
		flagByAddress[listener.address] = listener.flag
	}
}

// Limits returns the times and sizes for the fleet's rate limiting: the defaults, with Fence, Loan and Shards from the settings.
func (s *Settings) Limits() rate.Limits {
	l := rate.DefaultLimits()
	l.Fence, l.Loan, l.Shards = s.Fence, s.Loan, s.Shards
	return l
}

func usage(fs *flag.FlagSet, out io.Writer) {
	fmt.Fprintf(out, "foxtailhook: the daemon beside one upstream.\n\n")
	fmt.Fprintf(out, "Each flag can be given as an environment variable: -log-level as %s_LOG_LEVEL.\n\n", EnvPrefix)
	fs.SetOutput(out)
	fs.PrintDefaults()
	fs.SetOutput(io.Discard)
}
