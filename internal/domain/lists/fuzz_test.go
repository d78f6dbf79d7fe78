package lists

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
)

// FuzzOffer offers values of each list: one that is accepted is accepted again as
// it was understood, and one that is not leaves what is in force.
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
				t.Fatalf("accepted, but in force is version %d with faults %v", set.View().Version(k), faults)
			}
			again(t, set, k)
		case Rejected:
			if len(faults) == 0 || set.View().Version(k) != 0 {
				t.Fatalf("rejected with %d faults, in force is version %d", len(faults), set.View().Version(k))
			}
		case Old:
			t.Fatal("a first value is called old")
		}
	})
}

func again(t *testing.T, set *Set, k Kind) {
	value := map[Kind]any{
		KindPlans: Plans{Organisations: set.plans.entries}, KindUses: usesOf(set.view.usesView),
		KindKeys: Keys{Keys: set.keys.entries}, KindHosts: Hosts{Hosts: set.hosts.entries},
	}[k]
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if verdict, faults := NewSet().Offer(Value{Kind: k, Version: 1, Raw: raw}); verdict != Accepted {
		t.Fatalf("not accepted again: %v", faults)
	}
}

// usesOf returns the list that the view was made of, in another order.
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
