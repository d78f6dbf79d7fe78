package rate_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/parts/rate"
)

// host is one host of the fleet, with a home and a borrower. A real program
// would run both in one process and carry the messages over its network.
type host struct {
	member   rate.Member
	home     *rate.Home
	borrower *rate.Borrower
}

func newHost(number byte, limits rate.Limits, now time.Time) *host {
	member := rate.Member{Host: fmt.Sprintf("host-%d", number), Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 7001)}
	return &host{member: member, home: rate.NewHome(member, 1, limits, now), borrower: rate.NewBorrower(member.Host, 1, limits)}
}

// exchange delivers the messages that are due, without latency.
func exchange(fleet map[rate.Member]*host, now time.Time) {
	for _, h := range fleet {
		if to, ok := h.home.NextAsk(now); ok {
			h.home.Hear(fleet[to].home.AnswerStatement(h.home.Statement(now), now), now, now)
		}
		h.home.Tick(now)
		for _, ask := range h.borrower.Tick(now) {
			h.borrower.Hear(ask.Home, fleet[ask.Home].home.AnswerLease(ask.Message, now), now, now)
		}
	}
}

// An organisation with a rate of 30 requests/s and a burst of 30 sends 300
// requests/s to three hosts, which share nothing but messages. Together they
// admit no more than its burst and its rate.
func Example() {
	now := time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)
	limits := rate.Limits{Fence: 10 * time.Second, Loan: time.Second, Shards: 16}
	fleet := map[rate.Member]*host{}
	var members []rate.Member
	for number := byte(1); number <= 3; number++ {
		h := newHost(number, limits, now)
		fleet[h.member] = h
		members = append(members, h.member)
	}
	organisations := []rate.Organisation{{Organisation: "maker", Plan: "basic", Rate: 30, Burst: 30}}
	for _, h := range fleet {
		h.home.SetList(1, members, now)
		h.home.SetPlans(organisations, now)
		h.borrower.SetList(1, members)
		h.borrower.SetPlans(organisations)
	}

	const seconds = 60
	admitted := 0
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		for _, h := range fleet {
			if _, outcome, _ := h.borrower.Spend("maker", now); outcome == rate.Spent {
				admitted++
			}
		}
		exchange(fleet, now)
	}
	fmt.Println("within burst and rate:", admitted <= 30+30*seconds)
	fmt.Println("at least half of the rate is used:", admitted > 30*seconds/2)
	// Output:
	// within burst and rate: true
	// at least half of the rate is used: true
}
