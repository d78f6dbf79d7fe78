package demand

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

// BenchmarkBeat is one daemon's report with the answer to it, at a collector of so many daemons that beat each 300 ms.
func BenchmarkBeat(b *testing.B) {
	const services, lanes, gap = 4, 12, 300 * time.Millisecond
	for _, daemons := range []int{66, 300, 1000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			c := New()
			r := one("s0", 1.1, 40, 0)
			r.RetryRates, r.Demand = map[string]repeats.Rates{}, nil
			for n := range services {
				r.RetryRates[fmt.Sprint("s", n)] = repeats.Rates{Earned: 5, Wanted: 20}
			}
			for n := range lanes {
				r.Demand = append(r.Demand, shed.Rate{Class: shed.Class{Route: fmt.Sprint("r", n)}, PerSecond: 10})
			}
			each := gap / time.Duration(daemons)
			now := time.Unix(1000, 0)
			n := 0
			for b.Loop() {
				now = now.Add(each)
				n++
				from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n % daemons >> 8), byte(n % daemons)}), 1)
				c.Update(from, false, r, now)
				c.Grants(r.RetryRates, 1, now)
			}
		})
	}
}
