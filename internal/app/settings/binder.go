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
	rules    []func()
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

// obey checks the bounds of values that were set rather than parsed.
func (b *binder) obey() {
	for _, rule := range b.rules {
		rule()
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

// read binds a flag whose text is turned into a T after parsing; the rules hold for parsed and for set values.
func read[T any](b *binder, into *T, name, value, help string, parse func(string) (T, error), rules ...func(T) error) {
	obey := func() {
		for _, rule := range rules {
			if err := rule(*into); err != nil {
				b.fault("-%s: %v", name, err)
			}
		}
	}
	raw := b.fs.String(name, value, help)
	b.rules = append(b.rules, obey)
	b.reads = append(b.reads, func() {
		parsed, err := parse(*raw)
		if err != nil {
			b.fault("-%s: %v", name, err)
			return
		}
		*into = parsed
		obey()
	})
}

func (b *binder) address(into *netip.AddrPort, name, value, help string) {
	parse := func(raw string) (netip.AddrPort, error) {
		a, err := netip.ParseAddrPort(raw)
		if err != nil {
			return a, fmt.Errorf("%q is not an IP number with a port", raw)
		}
		return a, nil
	}
	read(b, into, name, value, help, parse, func(a netip.AddrPort) error {
		if !a.IsValid() || a.Port() == 0 {
			return fmt.Errorf("%q is not an IP number with a port above 0", a)
		}
		return nil
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

func (b *binder) addresses(into *[]netip.AddrPort, name, value, help string) {
	read(b, into, name, value, help, func(raw string) ([]netip.AddrPort, error) {
		var all []netip.AddrPort
		for part := range strings.SplitSeq(raw, ",") {
			if part == "" {
				continue
			}
			a, err := netip.ParseAddrPort(part)
			if err != nil {
				return nil, fmt.Errorf("%q is not an IP number with a port", part)
			}
			all = append(all, a)
		}
		return all, nil
	})
}

func (b *binder) count(into *int, name string, value int, help string, least, most int) {
	help = fmt.Sprintf("%s (%d to %d)", help, least, most)
	parse := func(raw string) (int, error) {
		n, err := strconv.Atoi(raw)
		if err != nil {
			return 0, fmt.Errorf("%q is not a whole number from %d to %d", raw, least, most)
		}
		return n, nil
	}
	read(b, into, name, strconv.Itoa(value), help, parse, func(n int) error {
		if n < least || n > most {
			return fmt.Errorf("%d is not from %d to %d", n, least, most)
		}
		return nil
	})
}

func (b *binder) duration(into *time.Duration, name string, value time.Duration, help string, least, most time.Duration) {
	help = fmt.Sprintf("%s (%s to %s)", help, least, most)
	parse := func(raw string) (time.Duration, error) {
		d, err := time.ParseDuration(raw)
		if err != nil {
			return 0, fmt.Errorf("%q is not a duration from %s to %s", raw, least, most)
		}
		return d, nil
	}
	read(b, into, name, value.String(), help, parse, func(d time.Duration) error {
		if d < least || d > most {
			return fmt.Errorf("%s is not from %s to %s", d, least, most)
		}
		return nil
	})
}

func (b *binder) level(into *logrus.Level, name, value, help string) {
	read(b, into, name, value, help, logrus.ParseLevel, func(l logrus.Level) error {
		if l > logrus.TraceLevel {
			return fmt.Errorf("%d is not a level of the log", l)
		}
		return nil
	})
}

// choice binds a flag that takes one of an enum's names, which its help tells behind a colon.
func choice[E fmt.Stringer](b *binder, into *E, name string, value E, help string, parse func(string) (E, bool)) {
	_, names, _ := strings.Cut(help, ": ")
	named := func(raw string) (E, error) {
		e, ok := parse(raw)
		if !ok {
			return e, fmt.Errorf("%q is not one of its names: %s", raw, names)
		}
		return e, nil
	}
	read(b, into, name, value.String(), help, named, func(e E) error {
		_, err := named(e.String())
		return err
	})
}
