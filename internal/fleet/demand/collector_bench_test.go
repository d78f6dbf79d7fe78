package demand

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

// BenchmarkHeartbeat measures one daemon's report and the grants in the reply, at a collector of many daemons that report each 300 ms.
func BenchmarkHeartbeat(b *testing.B) {
	const services, classes, interval = 4, 12, 300 * time.Millisecond
	for _, daemons := range []int{66, 300, 1000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			c := New()
			report := reportOf("s0", 1.1, 40, 0)
			report.RetryRates, report.Demand = map[string]repeats.Rates{}, nil
			for n := range services {
				report.RetryRates[fmt.Sprint("s", n)] = repeats.Rates{Earned: 5, Wanted: 20}
			}
			for n := range classes {
				report.Demand = append(report.Demand, shed.ArrivalRate{Class: shed.Class{Route: fmt.Sprint("r", n)}, PerSecond: 10})
			}
			pause := interval / time.Duration(daemons)
			now := time.Unix(1000, 0)
			n := 0
			for b.Loop() {
				now = now.Add(pause)
				n++
				from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n % daemons >> 8), byte(n % daemons)}), 1)
				c.Update(from, false, report, now)
				c.Grants(report.RetryRates, 1, now)
			}
		})
	}
}
