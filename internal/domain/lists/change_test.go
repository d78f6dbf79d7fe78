package lists

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
)

// keysValue returns a keys list of count entries; the entry at index changed has another organisation.
func keysValue(count, changed int) []byte {
	var out bytes.Buffer
	out.WriteString(`{"keys":[`)
	for i := range count {
		if i > 0 {
			out.WriteString(",\n")
		}
		organisation := fmt.Sprintf("organisation-%d", i)
		if i == changed {
			organisation = "another"
		}
		hash := sha256.Sum256([]byte(organisation))
		fmt.Fprintf(&out, `{"id":"key-%d","organisation":%q,"sha256":"%s"}`, i, organisation, hex.EncodeToString(hash[:]))
	}
	out.WriteString("]}\n")
	return out.Bytes()
}

// hostsValue returns a host list of count entries.
func hostsValue(count int) []byte {
	var out bytes.Buffer
	out.WriteString(`{"hosts":[`)
	for i := range count {
		if i > 0 {
			out.WriteString(",")
		}
		fmt.Fprintf(&out, `{"host":"host-%d","service":"service-%d","region":"region-%d","zone":"zone-%d","peer":"10.%d.%d.%d:7001"}`,
			i, i%360, i%3, i%11, i>>16, i>>8&255, i&255)
	}
	out.WriteString("]}")
	return out.Bytes()
}

// BenchmarkChange measures one change of a keys list of nearly a megabyte, from its text to a new view,
// in a set that also holds the host list of a fleet of the target size.
func BenchmarkChange(b *testing.B) {
	const count = 7500
	set := NewSet()
	set.Offer(Value{Kind: KindHosts, Version: 1, Raw: hostsValue(3400)})
	values := [][]byte{keysValue(count, count/2), keysValue(count, count/3)}
	b.ReportAllocs()
	version := uint64(0)
	for b.Loop() {
		version++
		if verdict, faults := set.Offer(Value{Kind: KindKeys, Version: version, Raw: values[version%2]}); verdict != Accepted {
			b.Fatal(faults)
		}
		set.View()
	}
}

// BenchmarkInitialLoad measures the first load of both lists.
func BenchmarkInitialLoad(b *testing.B) {
	hosts, keys := hostsValue(3400), keysValue(7500, 0)
	b.ReportAllocs()
	for b.Loop() {
		set := NewSet()
		set.Offer(Value{Kind: KindHosts, Version: 1, Raw: hosts})
		set.Offer(Value{Kind: KindKeys, Version: 1, Raw: keys})
		set.View()
	}
}
