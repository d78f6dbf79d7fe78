package spread_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/parts/spread"
)

// One host of a fleet has version 8 of the keys list, another still version 7.
// The second learns of the newer version from a digest and fetches the changes.
func Example() {
	now := time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)
	hosts := []spread.Host{
		{Host: "lookup-1", Service: "lookup", Zone: "a", Peer: netip.MustParseAddrPort("10.0.0.1:7001")},
		{Host: "lookup-2", Service: "lookup", Zone: "b", Peer: netip.MustParseAddrPort("10.0.0.2:7001")},
	}
	core := spread.New(spread.Config{Host: "lookup-2", Zone: "b", Watch: 30 * time.Second}, rand.New(rand.NewPCG(1, 1)), now)
	core.SetHosts(hosts)
	old := spread.Value{Kind: spread.KindKeys, Version: 7, Raw: []byte(`{"keys":["one","two","three","four"]}`)}
	core.Accepted(old.Kind, old.Version, now, skipNone)

	digest := spread.Digest{Host: "lookup-1", Ready: true, Age: -1}
	digest.Versions[spread.KindKeys] = 8
	for _, source := range core.Hear(digest, now).Fetch {
		fmt.Println("fetch", source.Kind, "version", source.Version, "from", source.Peer)
	}

	var archive spread.Archive // at lookup-1
	archive.Store(old)
	archive.Store(spread.Value{Kind: spread.KindKeys, Version: 8, Raw: []byte(`{"keys":["one","three","four"]}`)})
	packet := archive.Packet(spread.Fetch{Kind: spread.KindKeys, Have: old.Version})
	fmt.Println("sent whole:", packet.Whole != nil)
	value, err := packet.Open(old)
	fmt.Println(string(value.Raw), err)
	// Output:
	// fetch keys version 8 from 10.0.0.1:7001
	// sent whole: false
	// {"keys":["one","three","four"]} <nil>
}

// skipNone leaves no host out of exchanges.
func skipNone(string) bool { return false }
