package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// runIfNew runs a key's request at its holder in the ingress daemon's list, if the key is proven new.
func (m *model) runIfNew(ingress string, key Key) bool {
	holder := m.daemon(Holder(key, m.daemon(ingress).hosts))
	ticket := holder.ledger.Begin(key, Fingerprint{}, m.now)
	if ticket.Claim != Begun {
		return false
	}
	if !m.provenNew(&attempt{key: key, holder: holder, ticket: ticket}) {
		holder.ledger.Release(key, m.now)
		return false
	}
	holder.ledger.Finish(key, call.Answer{Outcome: call.Whole}, m.now)
	return true
}

// advanceConfirming advances the clock while daemons confirm their lists.
func (m *model) advanceConfirming(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelWindow / 16) {
		m.confirmAll()
	}
	m.confirmAll()
}

// timedKeyHeldBy returns a new time-ordered key with the given holders in two lists.
func (m *model) timedKeyHeldBy(before string, hosts []string, after string, next []string) Key {
	for i := 0; ; i++ {
		millis := m.now.UnixMilli()
		id := uuid.UUID{byte(millis >> 40), byte(millis >> 32), byte(millis >> 24), byte(millis >> 16), byte(millis >> 8), byte(millis), 0x70, 0, 0x80}
		k := Key{Text: id.String(), Operation: fmt.Sprint(i)}
		if Holder(k, hosts) == before && Holder(k, next) == after {
			return k
		}
	}
}

func TestMostHostsReplacedDuringPartition(t *testing.T) {
	// Most hosts of a service are partitioned from the platform and from the others,
	// which receive a list without them. Each side confirms its own list, for longer
	// than any key is remembered. A caller books at one side and retries at the
	// other: without the earlier list's holders, two trucks would be sent.
	cases := []struct {
		name     string
		restarts bool
		length   time.Duration
	}{
		{"for a second", false, time.Second},
		{"for longer than the window", false, 3 * modelWindow},
		{"for longer than the window, and a host starts that never saw the old list", true, 3 * modelWindow},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			Convey("A key that the other side may hold does not run; other keys do", t, func() {
				m := newModel()
				all, rest := m.lists[0], []string{"h3", "h4"}
				m.advanceConfirming(2 * modelWindow)
				for _, a := range []string{"h0", "h1", "h2"} {
					m.unreachable[[2]string{a, "h3"}], m.unreachable[[2]string{a, "h4"}] = true, true
				}
				m.lists = append(m.lists, rest)
				m.updateList(m.daemon("h3"))
				if c.restarts {
					m.daemon("h4").alive = false
					m.start(m.daemon("h4"))
				} else {
					m.updateList(m.daemon("h4"))
				}
				m.advanceConfirming(c.length)
				for _, after := range rest {
					k := m.timedKeyHeldBy("h0", all, after, rest)
					So(m.runIfNew("h1", k), ShouldBeTrue)
					So(m.runIfNew(after, k), ShouldBeFalse)
				}
				if c.length > 2*modelWindow {
					So(m.runIfNew("h4", m.timedKeyHeldBy("h3", all, "h3", rest)), ShouldBeTrue)
				}
				Convey("and once both sides have the new list, all keys run", func() {
					clear(m.unreachable)
					for _, name := range all[:3] {
						m.updateList(m.daemon(name))
					}
					m.advanceConfirming(3 * modelWindow)
					for _, before := range all[:3] {
						So(m.runIfNew("h3", m.timedKeyHeldBy(before, all, "h4", rest)), ShouldBeTrue)
					}
				})
			})
		})
	}
}

func TestMostHostsCrashPermanently(t *testing.T) {
	// Most hosts of a service crash at once and never restart. The others can't distinguish
	// them from partitioned hosts that still run, so new keys that they would hold are answered as unknown.
	Convey("Keys of the crashed hosts stay in doubt", t, func() {
		m := newModel()
		all, rest := m.lists[0], []string{"h3", "h4"}
		m.advanceConfirming(2 * modelWindow)
		for _, lost := range all[:3] {
			m.daemon(lost).alive = false
		}
		m.lists = append(m.lists, rest)
		m.updateList(m.daemon("h3"))
		m.updateList(m.daemon("h4"))
		m.advanceConfirming(6 * modelWindow)
		So(m.runIfNew("h4", m.timedKeyHeldBy("h0", all, "h3", rest)), ShouldBeFalse)
		So(m.runIfNew("h4", m.timedKeyHeldBy("h3", all, "h3", rest)), ShouldBeTrue)
		Convey("also when the others are restarted one by one, since each gets the earlier list from another's report", func() {
			for _, name := range rest {
				m.start(m.daemon(name))
				m.advanceConfirming(3 * modelWindow)
			}
			So(m.runIfNew("h3", m.timedKeyHeldBy("h0", all, "h4", rest)), ShouldBeFalse)
		})
		Convey("and run once the others were all down at the same time", func() {
			for _, name := range rest {
				m.daemon(name).alive = false
			}
			for _, name := range rest {
				m.start(m.daemon(name))
			}
			m.advanceConfirming(modelWindow / 8)
			for _, lost := range all[:3] {
				So(m.runIfNew("h3", m.timedKeyHeldBy(lost, all, "h4", rest)), ShouldBeTrue)
			}
		})
	})
}
