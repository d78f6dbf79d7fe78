package settings

import (
	"flag"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// binder collects flags as text and reads them all after parsing, so that every fault is told in one go.
type binder struct {
	fs       *flag.FlagSet
	reads    []func()
	problems Problems
}

func (b *binder) fault(format string, args ...any) {
	b.problems = append(b.problems, fmt.Sprintf(format, args...))
}

func (b *binder) resolve() {
	for _, read := range b.reads {
		read()
	}
}

func (b *binder) required(name, value string) {
	if value == "" || strings.ContainsAny(value, " /\t\r\n\"") {
		b.fault("-%s must be given, without blanks, quotes or slashes", name)
	}
}

func (b *binder) text(into *string, name, value, help string) {
	b.fs.StringVar(into, name, value, help)
}

// read binds a flag whose text is turned into a T after parsing.
func read[T any](b *binder, into *T, name, value, help string, parse func(string) (T, error)) {
	raw := b.fs.String(name, value, help)
	b.reads = append(b.reads, func() {
		parsed, err := parse(*raw)
		if err != nil {
			b.fault("-%s: %v", name, err)
			return
		}
		*into = parsed
	})
}

func (b *binder) address(into *netip.AddrPort, name, value, help string) {
	read(b, into, name, value, help, func(raw string) (netip.AddrPort, error) {
		a, err := netip.ParseAddrPort(raw)
		if err != nil {
			return a, fmt.Errorf("%q is not an IP number with a port", raw)
		}
		return a, nil
	})
}

// advertised binds the address as others know it; empty means the same as the listener's.
func (b *binder) advertised(into, listener *netip.AddrPort) {
	raw := b.fs.String("advertise", "", "IP:port of -peers as the hosts list has it (default the same)")
	b.reads = append(b.reads, func() {
		if *raw == "" {
			*into = *listener
			return
		}
		a, err := netip.ParseAddrPort(*raw)
		if err != nil {
			b.fault("-advertise: %q is not an IP number with a port", *raw)
		}
		*into = a
	})
}

func (b *binder) count(into *int, name string, value int, help string, least, most int) {
	help = fmt.Sprintf("%s (%d to %d)", help, least, most)
	read(b, into, name, strconv.Itoa(value), help, func(raw string) (int, error) {
		n, err := strconv.Atoi(raw)
		if err != nil || n < least || n > most {
			return 0, fmt.Errorf("%q is not a whole number from %d to %d", raw, least, most)
		}
		return n, nil
	})
}

func (b *binder) duration(into *time.Duration, name string, value time.Duration, help string, least, most time.Duration) {
	help = fmt.Sprintf("%s (%s to %s)", help, least, most)
	read(b, into, name, value.String(), help, func(raw string) (time.Duration, error) {
		d, err := time.ParseDuration(raw)
		if err != nil || d < least || d > most {
			return 0, fmt.Errorf("%q is not a duration from %s to %s", raw, least, most)
		}
		return d, nil
	})
}

func (b *binder) level(into *logrus.Level, name, value, help string) {
	read(b, into, name, value, help, logrus.ParseLevel)
}
