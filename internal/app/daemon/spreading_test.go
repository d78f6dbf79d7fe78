package daemon

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/spread"
)

func TestLargeValuesAreSentOneAtATime(t *testing.T) {
	// A whole availability zone starts, and one daemon has the lists first. If it sent a list of a megabyte to forty peers at
	// once, its host would run short of memory for the upstream.
	Convey("Peers that fetch a large list at once get it one after another, and the last ones get nothing", t, func() {
		now := time.Unix(1_000_000, 0)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		c := &control{archive: &spread.Archive{}, ctx: ended}
		c.archive.Store(lists.Value{Kind: lists.KindKeys, Version: 1, Raw: bytes.Repeat([]byte{' '}, 1<<20)})
		c.archive.Store(lists.Value{Kind: lists.KindPlans, Version: 1, Raw: []byte(`{"organisations":[]}`)})
		whole := 0
		var longest time.Duration
		for range 40 {
			packet, wait := c.packetFor(spread.Fetch{Kind: lists.KindKeys}, now)
			if len(packet.Whole) > 0 {
				whole++
			}
			longest = max(longest, wait)
		}
		So(whole, ShouldEqual, int(maxLargeValueWait/largeValueInterval)+1)
		So(longest, ShouldEqual, maxLargeValueWait)
		_, wait := c.packetFor(spread.Fetch{Kind: lists.KindPlans}, now)
		So(wait, ShouldEqual, 0)
		packet, wait := c.packetFor(spread.Fetch{Kind: lists.KindKeys}, now.Add(maxLargeValueWait+largeValueInterval))
		So(packet.Whole, ShouldHaveLength, 1<<20)
		So(wait, ShouldEqual, 0)
	})
}
