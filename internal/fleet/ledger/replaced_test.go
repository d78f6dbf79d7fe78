package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// try runs a key's request at the holder that a daemon knows, if it is certainly new.
func (m *model) try(front string, key Key) bool {
	holder := m.find(Holder(key, m.find(front).view))
	ticket := holder.ledger.Begin(key, Fingerprint{}, m.now)
	if ticket.Claim != Begun {
		return false
	}
	if !m.isNew(&attempt{key: key, holder: holder, ticket: ticket}) {
		holder.ledger.Release(key, m.now)
		return false
	}
	holder.ledger.Finish(key, call.Answer{Outcome: call.Whole}, m.now)
	return true
}

// pass lets time go by while daemons confirm their lists.
func (m *model) pass(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelWindow / 16) {
		m.confirmAll()
	}
	m.confirmAll()
}

// heldBy returns a new key that tells its time, with the given holders in two lists.
func (m *model) heldBy(before string, hosts []string, after string, next []string) Key {
	for i := 0; ; i++ {
		at := m.now.UnixMilli()
		id := uuid.UUID{byte(at >> 40), byte(at >> 32), byte(at >> 24), byte(at >> 16), byte(at >> 8), byte(at), 0x70, 0, 0x80}
		k := Key{Text: id.String(), Operation: fmt.Sprint(i)}
		if Holder(k, hosts) == before && Holder(k, next) == after {
			return k
		}
	}
}

func TestMostHostsReplacedDuringACut(t *testing.T) {
	// Most hosts of a service are cut off from the platform and from the others,
	// which get a list without them. Each side confirms its own list, for longer
	// than any key is remembered. A caller books at one side, and repeats at the
	// other: two trucks come.
	cases := []struct {
		name     string
		restarts bool
		length   time.Duration
	}{
		{"for a moment", false, time.Second},
		{"for longer than the window", false, 3 * modelWindow},
		{"for longer, and a host starts that never saw the old list", true, 3 * modelWindow},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			Convey("A key that the other side may hold does not run; others do", t, func() {
				m := newModel()
				all, rest := m.lists[0], []string{"h3", "h4"}
				m.pass(2 * modelWindow)
				for _, a := range []string{"h0", "h1", "h2"} {
					m.cut[[2]string{a, "h3"}], m.cut[[2]string{a, "h4"}] = true, true
				}
				m.lists = append(m.lists, rest)
				m.learn(m.find("h3"))
				if c.restarts {
					m.find("h4").alive = false
					m.start(m.find("h4"))
				} else {
					m.learn(m.find("h4"))
				}
				m.pass(c.length)
				for _, after := range rest {
					k := m.heldBy("h0", all, after, rest)
					So(m.try("h1", k), ShouldBeTrue)
					So(m.try(after, k), ShouldBeFalse)
				}
				if c.length > 2*modelWindow {
					So(m.try("h4", m.heldBy("h3", all, "h3", rest)), ShouldBeTrue)
				}
				Convey("and when both sides have the new list, all keys run again", func() {
					clear(m.cut)
					for _, name := range all[:3] {
						m.learn(m.find(name))
					}
					m.pass(3 * modelWindow)
					for _, before := range all[:3] {
						So(m.try("h3", m.heldBy(before, all, "h4", rest)), ShouldBeTrue)
					}
				})
			})
		})
	}
}

func TestMostHostsCrashForGood(t *testing.T) {
	// Most hosts of a service crash at once and never come back. Nobody can tell
	// them from hosts that live on, cut off, so new keys that they would hold are answered as unknown.
	Convey("Keys of the lost hosts stay in doubt", t, func() {
		m := newModel()
		all, rest := m.lists[0], []string{"h3", "h4"}
		m.pass(2 * modelWindow)
		for _, lost := range all[:3] {
			m.find(lost).alive = false
		}
		m.lists = append(m.lists, rest)
		m.learn(m.find("h3"))
		m.learn(m.find("h4"))
		m.pass(6 * modelWindow)
		So(m.try("h4", m.heldBy("h0", all, "h3", rest)), ShouldBeFalse)
		So(m.try("h4", m.heldBy("h3", all, "h3", rest)), ShouldBeTrue)
		Convey("also when the others are restarted one by one, since each learns of the earlier list from the next", func() {
			for _, name := range rest {
				m.start(m.find(name))
				m.pass(3 * modelWindow)
			}
			So(m.try("h3", m.heldBy("h0", all, "h4", rest)), ShouldBeFalse)
		})
		Convey("and run again when the others were all down at the same time", func() {
			for _, name := range rest {
				m.find(name).alive = false
			}
			for _, name := range rest {
				m.start(m.find(name))
			}
			m.pass(modelWindow / 8)
			for _, lost := range all[:3] {
				So(m.try("h3", m.heldBy(lost, all, "h4", rest)), ShouldBeTrue)
			}
		})
	})
}
