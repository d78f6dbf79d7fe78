package collect

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSearch guards against a daemon that never finds a collector because it tries lost hosts one after the other, and the first ones again
// before it has tried all.
func TestSearch(t *testing.T) {
	const (
		// timeout is the time that a lost host costs, alone or probed with others.
		timeout = 400 * time.Millisecond
		// triedInTurn is how many hosts are tried one after the other rather than probed.
		triedInTurn = int(avoidTTL / timeout)
		// maxTime is the time after which lost hosts are dropped from the list of those that reach the store.
		maxTime = 6 * time.Second
	)
	for _, lost := range []int{0, 1, 30, maxFlatDaemons, 330} {
		Convey(fmt.Sprintf("A collector behind %d lost hosts is found", lost), t, func() {
			var search Search
			var took time.Duration
			avoidedUntil := make([]time.Duration, lost)
			next := func(count int) []int {
				var hosts []int
				for host := 0; host <= lost && len(hosts) < count; host++ {
					if host == lost || took >= avoidedUntil[host] {
						hosts = append(hosts, host)
					}
				}
				return hosts
			}
			try := func(hosts []int, ttl time.Duration) {
				took += timeout
				for _, host := range hosts {
					if host < lost {
						avoidedUntil[host] = took + ttl
					}
				}
			}
			for took <= maxTime && next(1)[0] != lost {
				first := next(1)
				try(first, avoidTTL)
				if further := next(search.Failed()); len(further) > MinSearchWidth {
					try(further, SearchTTL)
				} else if len(further) > triedInTurn {
					try(further, avoidTTL)
				}
			}
			So(took, ShouldBeLessThanOrEqualTo, maxTime)
		})
	}
	Convey("Nothing is probed after a single collector is lost", t, func() {
		var search Search
		So(search.Failed(), ShouldEqual, 0)
		search.Found()
		So(search.Failed(), ShouldEqual, 0)
	})
}
