package spread

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
)

func TestSplicesRebuildValue(t *testing.T) {
	Convey("After any edits and from any version, a peer ends up with the value in force", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			var a Archive
			var values []lists.Value
			for version := range rapid.IntRange(1, 12).Draw(t, "versions") {
				raw := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 30).Draw(t, "raw")
				values = append(values, lists.Value{Kind: lists.KindKeys, Version: uint64(version + 1), Raw: raw})
				a.Store(values[version])
			}
			have := lists.Value{Kind: lists.KindKeys}
			if at := rapid.IntRange(-1, len(values)-1).Draw(t, "have"); at >= 0 {
				have = values[at]
			}
			newest := values[len(values)-1]
			packet := a.Packet(Fetch{Kind: lists.KindKeys, Have: have.Version})
			if have.Version == newest.Version {
				return
			}
			got, err := packet.Open(have)
			if err != nil || string(got.Raw) != string(newest.Raw) || got.Version != newest.Version {
				t.Fatalf("from %v to %v: %v, %v", have, newest, got, err)
			}
		})
	})
}

func TestSpliceChecksum(t *testing.T) {
	// Two platforms, or one that was reinstalled, gave the same version number to
	// different values. Splices of one applied to the other would give a list that was never published.
	Convey("Splices that were made for other bytes are detected", t, func() {
		var a Archive
		a.Store(lists.Value{Kind: lists.KindKeys, Version: 1, Raw: []byte(strings.Repeat("same", 50) + "one")})
		a.Store(lists.Value{Kind: lists.KindKeys, Version: 2, Raw: []byte(strings.Repeat("same", 50) + "two")})
		packet := a.Packet(Fetch{Kind: lists.KindKeys, Have: 1})
		So(packet.Splices, ShouldHaveLength, 1)
		for _, raw := range []string{"", "short", strings.Repeat("else", 50) + "one"} {
			_, err := packet.Open(lists.Value{Kind: lists.KindKeys, Version: 1, Raw: []byte(raw)})
			So(err, ShouldWrap, ErrSplice)
		}
		_, err := packet.Open(lists.Value{Kind: lists.KindKeys, Version: 0})
		So(err, ShouldWrap, ErrSplice)
	})
	Convey("An empty packet, from a peer that has nothing newer, is no reason to fetch the whole value", t, func() {
		var a Archive
		a.Store(lists.Value{Kind: lists.KindKeys, Version: 2, Raw: []byte("two")})
		for _, have := range []uint64{2, 3} {
			packet := a.Packet(Fetch{Kind: lists.KindKeys, Have: have})
			_, err := packet.Open(lists.Value{Kind: lists.KindKeys, Version: have, Raw: []byte("at hand")})
			So(err, ShouldWrap, ErrNothingNewer)
		}
	})
}

func TestWireSizes(t *testing.T) {
	// 3,400 daemons exchange their versions every second, and a host that
	// leaves alters one entry of a list of 440 kB: larger messages would exceed the bandwidth of a daemon.
	Convey("A digest takes about a hundred bytes, and the change of one host less than two hundred", t, func() {
		digest := Digest{Host: "lookup-1234", Incarnation: 1 << 60, Versions: Versions{90000, 90000, 90000, 90000}, Age: 1 << 33}
		raw, err := msgpack.Marshal(digest)
		So(err, ShouldBeNil)
		So(len(raw), ShouldBeLessThan, 100)
		digest.News = []member.News{{Host: "lookup-1234", Incarnation: 1 << 60, Leaving: true}}
		raw, err = msgpack.Marshal(digest)
		So(err, ShouldBeNil)
		So(len(raw), ShouldBeLessThan, 130)

		var a Archive
		entry := `{"host":"host-%d","service":"lookup","region":"r","zone":"z","peer":"10.0.0.1:7001"},`
		var entries []string
		for i := range 3400 {
			entries = append(entries, fmt.Sprintf(entry, i))
		}
		a.Store(lists.Value{Kind: lists.KindHosts, Version: 1, Raw: []byte(strings.Join(entries, "\n"))})
		entries[1700] = strings.Replace(entries[1700], "}", `,"leaving":true}`, 1)
		a.Store(lists.Value{Kind: lists.KindHosts, Version: 2, Raw: []byte(strings.Join(entries, "\n"))})
		raw, err = msgpack.Marshal(a.Packet(Fetch{Kind: lists.KindHosts, Have: 1}))
		So(err, ShouldBeNil)
		So(len(raw), ShouldBeLessThan, 200)
	})
}
