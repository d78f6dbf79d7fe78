package lists

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
)

// FuzzOffer offers values of each list. An accepted value is accepted again after it was parsed and
// encoded; a rejected value leaves the value in force unchanged.
func FuzzOffer(f *testing.F) {
	f.Add(uint8(KindPlans), []byte(`{"organisations":[{"organisation":"dealer","plan":"full","rate":10,"burst":10}]}`))
	f.Add(uint8(KindUses), []byte(`{"operations":[{"operation":"a","service":"s","method":"GET","path":"/","priority":"standard"}],"plans":[{"plan":"p","operations":["a"]}]}`))
	f.Add(uint8(KindKeys), []byte(`{"keys":[{"id":"a","organisation":"dealer","sha256":"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"}]}`))
	f.Add(uint8(KindHosts), []byte(`{"hosts":[{"host":"a","service":"s","zone":"z","peer":"127.0.0.1:1"}]}`))
	f.Add(uint8(KindPlans), []byte(`{"organisations":[{"organisation":"dealer","rate":1e999}]}`))
	f.Add(uint8(KindHosts), []byte("{\"hosts\":[\x00"))
	f.Fuzz(func(t *testing.T, kind uint8, raw []byte) {
		k := Kind(int(kind) % int(Kinds))
		set := NewSet()
		verdict, faults := set.Offer(Value{Kind: k, Version: 1, Raw: raw})
		switch verdict {
		case Accepted:
			if set.View().Version(k) != 1 || len(faults) > 0 {
				t.Fatalf("accepted, but version %d is in force, with faults %v", set.View().Version(k), faults)
			}
			reofferAccepted(t, set, k)
		case Rejected:
			if len(faults) == 0 || set.View().Version(k) != 0 {
				t.Fatalf("rejected with %d faults, but version %d is in force", len(faults), set.View().Version(k))
			}
		case Old:
			t.Fatal("the first value is reported as old")
		}
	})
}

// reofferAccepted encodes the parsed value and requires that a new set accepts it.
func reofferAccepted(t *testing.T, set *Set, kind Kind) {
	value := map[Kind]any{
		KindPlans: Plans{Organisations: set.plans.entries}, KindUses: usesOf(set.view.usesView),
		KindKeys: Keys{Keys: set.keys.entries}, KindHosts: Hosts{Hosts: set.hosts.entries},
	}[kind]
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if verdict, faults := NewSet().Offer(Value{Kind: kind, Version: 1, Raw: raw}); verdict != Accepted {
		t.Fatalf("the encoded value is not accepted: %v", faults)
	}
}

// usesOf returns the list from which the view was built, in another order.
func usesOf(v usesView) Uses {
	var u Uses
	for _, operations := range v.operations {
		u.Operations = append(u.Operations, operations...)
	}
	for plan, set := range v.grants {
		u.Plans = append(u.Plans, Grant{Plan: plan, Operations: slices.Collect(maps.Keys(set))})
	}
	return u
}
