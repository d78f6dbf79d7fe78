package crash

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
)

// suspectsOf returns so many requests with different contents.
func suspectsOf(count int) []Suspect {
	suspects := make([]Suspect, count)
	for i := range suspects {
		suspects[i] = Suspect{RequestID: fmt.Sprint(i), Salt: quarantine.Salt{1}, Key: quarantine.Key{Route: "r", Fingerprint: 1<<63 + quarantine.Fingerprint(i)}}
	}
	return suspects
}

// TestReportsAreBounded guards against a crash with many requests at work, or in a large fleet, whose report takes seconds of a link.
func TestReportsAreBounded(t *testing.T) {
	for _, c := range []struct {
		atWork, receivers, maxBytes int
	}{
		{36, 16, 1 << 10},
		{36, 501, 8 << 10},
		{225, 501, 10 << 10},
		{5000, 3400, 48 << 10},
	} {
		Convey(fmt.Sprintf("With %d requests at work and %d receivers", c.atWork, c.receivers), t, func() {
			crashes := reportsOf(suspectsOf(c.atWork))
			So(crashes, ShouldHaveLength, 1)
			So(len(crashes[0].Suspects["r"]), ShouldEqual, min(c.atWork, maxSuspects))
			r := report{Crash: crashes[0], Wait: reportTimeout}
			for i := range c.receivers {
				r.Receivers = append(r.Receivers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000))
			}
			raw, err := msgpack.Marshal(r)
			So(err, ShouldBeNil)
			So(len(raw), ShouldBeLessThanOrEqualTo, c.maxBytes)
			t.Logf("%d requests at work, %d receivers: %d bytes", c.atWork, c.receivers, len(raw))
		})
	}
	Convey("The same content at work twice is named once, and another salt has a report of its own with the same crash", t, func() {
		suspects := append(suspectsOf(2), suspectsOf(2)...)
		suspects[3].Salt = quarantine.Salt{2}
		crashes := reportsOf(suspects)
		So(crashes, ShouldHaveLength, 2)
		So(crashes[0].Suspects["r"], ShouldHaveLength, 2)
		So(crashes[1].ID, ShouldEqual, crashes[0].ID)
	})
}
