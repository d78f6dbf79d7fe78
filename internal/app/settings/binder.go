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

// binder defines flags with text values and converts them all after parsing, so that every fault is reported at once.
type binder struct {
	fs *flag.FlagSet
	// resolvers convert and check the parsed text of each flag; checks only check the setting's current value.
	resolvers []func()
	checks    []func()
	problems  Problems
}

// fault records a problem.
func (b *binder) fault(format string, args ...any) {
	b.problems = append(b.problems, fmt.Sprintf(format, args...))
}

// resolve converts and checks the text of every flag.
func (b *binder) resolve() {
	for _, resolve := range b.resolvers {
		resolve()
	}
}

// checkBounds checks values that were assigned rather than parsed.
func (b *binder) checkBounds() {
	for _, check := range b.checks {
		check()
	}
}

func (b *binder) required(name, value string) {
	if value == "" || strings.ContainsAny(value, " /\t\r\n\"") {
		b.fault("-%s must be given, without blanks, quotes or slashes", name)
	}
}

func (b *binder) text(target *string, name, value, help string) {
	b.fs.StringVar(target, name, value, help)
}

// bindValue defines a flag whose text is converted to a T after parsing; the checks apply to parsed and to assigned values.
func bindValue[T any](b *binder, target *T, name, initial, help string, parse func(string) (T, error), checks ...func(T) error) {
	checkValue := func() {
		for _, check := range checks {
			if err := check(*target); err != nil {
				b.fault("-%s: %v", name, err)
			}
		}
	}
	raw := b.fs.String(name, initial, help)
	b.checks = append(b.checks, checkValue)
	b.resolvers = append(b.resolvers, func() {
		parsed, err := parse(*raw)
		if err != nil {
			b.fault("-%s: %v", name, err)
			return
		}
		*target = parsed
		checkValue()
	})
}

func (b *binder) address(target *netip.AddrPort, name, value, help string) {
	parse := func(raw string) (netip.AddrPort, error) {
		a, err := netip.ParseAddrPort(raw)
		if err != nil {
			return a, fmt.Errorf("%q is not an IP number with a port", raw)
		}
		return a, nil
	}
	bindValue(b, target, name, value, help, parse, func(a netip.AddrPort) error {
		if !a.IsValid() || a.Port() == 0 {
			return fmt.Errorf("%q is not an IP number with a port above 0", a)
		}
		return nil
	})
}

// advertised defines the flag for the address under which peers reach this daemon; empty means the listener's address.
func (b *binder) advertised(target, listener *netip.AddrPort) {
	raw := b.fs.String("advertise", "", "IP:port of -peers as the hosts list has it (default the same)")
	b.resolvers = append(b.resolvers, func() {
		if *raw == "" {
			*target = *listener
			return
		}
		a, err := netip.ParseAddrPort(*raw)
		if err != nil {
			b.fault("-advertise: %q is not an IP number with a port", *raw)
		}
		*target = a
	})
}

func (b *binder) addresses(target *[]netip.AddrPort, name, value, help string) {
	bindValue(b, target, name, value, help, func(raw string) ([]netip.AddrPort, error) {
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

func (b *binder) count(target *int, name string, value int, help string, lowest, highest int) {
	help = fmt.Sprintf("%s (%d to %d)", help, lowest, highest)
	parse := func(raw string) (int, error) {
		n, err := strconv.Atoi(raw)
		if err != nil {
			return 0, fmt.Errorf("%q is not a whole number from %d to %d", raw, lowest, highest)
		}
		return n, nil
	}
	bindValue(b, target, name, strconv.Itoa(value), help, parse, func(n int) error {
		if n < lowest || n > highest {
			return fmt.Errorf("%d is not from %d to %d", n, lowest, highest)
		}
		return nil
	})
}

func (b *binder) duration(target *time.Duration, name string, value time.Duration, help string, shortest, longest time.Duration) {
	help = fmt.Sprintf("%s (%s to %s)", help, shortest, longest)
	parse := func(raw string) (time.Duration, error) {
		d, err := time.ParseDuration(raw)
		if err != nil {
			return 0, fmt.Errorf("%q is not a duration from %s to %s", raw, shortest, longest)
		}
		return d, nil
	}
	bindValue(b, target, name, value.String(), help, parse, func(d time.Duration) error {
		if d < shortest || d > longest {
			return fmt.Errorf("%s is not from %s to %s", d, shortest, longest)
		}
		return nil
	})
}

func (b *binder) level(target *logrus.Level, name, value, help string) {
	bindValue(b, target, name, value, help, logrus.ParseLevel, func(l logrus.Level) error {
		if l > logrus.TraceLevel {
			return fmt.Errorf("%d is not a log level", l)
		}
		return nil
	})
}

// choice defines a flag that takes one of an enum's names; its help lists them after a colon.
func choice[E fmt.Stringer](b *binder, target *E, name string, value E, help string, parse func(string) (E, bool)) {
	_, names, _ := strings.Cut(help, ": ")
	parseName := func(raw string) (E, error) {
		e, ok := parse(raw)
		if !ok {
			return e, fmt.Errorf("%q is not one of: %s", raw, names)
		}
		return e, nil
	}
	bindValue(b, target, name, value.String(), help, parseName, func(e E) error {
		_, err := parseName(e.String())
		return err
	})
}
