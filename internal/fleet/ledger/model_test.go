package ledger

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Callers repeat within the window less the longest time that a request may take.
const (
	modelWindow  = time.Minute
	modelTimeout = 10 * time.Second
)

// modelDaemon is one daemon of the model, dead or alive.
type modelDaemon struct {
	name    string
	alive   bool
	ledger  *Ledger
	history *History
	view    []string
	seen    int
}

// attempt is a request on its way through its holder.
type attempt struct {
	key     Key
	holder  *modelDaemon
	ledger  *Ledger
	ticket  Ticket
	begun   time.Time
	running bool
	outcome call.Outcome
}

// outcomes are what runs end with; most end whole.
var outcomes = []call.Outcome{call.Whole, call.Whole, call.Whole, call.Unknown, call.NotRun}

// model is a fleet with one service, whose daemons crash, leave, lag and lose each other.
type model struct {
	now     time.Time
	daemons []*modelDaemon
	lists   [][]string
	cut     map[[2]string]bool
	pending []*attempt
	first   map[Key]time.Time
	runs    map[Key]int
}

func newModel() *model {
	m := &model{now: time.Unix(1_700_000_000, 0), cut: map[[2]string]bool{}, first: map[Key]time.Time{}, runs: map[Key]int{}}
	var all []string
	for i := range 5 {
		name := fmt.Sprintf("h%d", i)
		m.daemons = append(m.daemons, &modelDaemon{name: name})
		all = append(all, name)
	}
	m.lists = [][]string{all}
	for _, d := range m.daemons {
		m.start(d)
	}
	return m
}

func (m *model) start(d *modelDaemon) {
	d.alive = true
	d.ledger = New(modelWindow, 1000, 1000, m.now)
	d.history = NewHistory(modelWindow)
	d.seen = -1
	m.learn(d)
}

func (m *model) learn(d *modelDaemon) {
	d.seen = len(m.lists) - 1
	d.view = m.lists[d.seen]
	d.history.Observe(uint64(d.seen+1), d.view, m.now)
}

func (m *model) find(name string) *modelDaemon {
	for _, d := range m.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

func (m *model) reach(a, b string) bool {
	return m.find(b).alive && !m.cut[[2]string{a, b}] && !m.cut[[2]string{b, a}]
}

// advance lets time pass; daemons that work confirm their lists several times a window.
func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(t, "confirms") {
		m.confirmAll()
	}
}

func (m *model) confirmAll() {
	for _, d := range m.daemons {
		if d.alive {
			m.confirm(d)
		}
	}
}

func (m *model) daemon(t *rapid.T) *modelDaemon {
	return m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")]
}

// timedKey is a UUID of version 7 made by a caller whose clock is off by up to the assumed skew.
func (m *model) timedKey(t *rapid.T) string {
	offset := time.Duration(rapid.IntRange(-int(Skew/time.Millisecond), int(Skew/time.Millisecond)).Draw(t, "skew")) * time.Millisecond
	id := uuid.UUID{}
	binary.BigEndian.PutUint64(id[:], uint64(m.now.Add(offset).UnixMilli())<<16)
	id[6] = 0x70
	id[8] = 0x80
	binary.BigEndian.PutUint32(id[12:], uint32(len(m.first)))
	return id.String()
}

// key is a new one, or one that was sent before; an opaque one is repeated within the window only.
func (m *model) key(t *rapid.T) (Key, bool) {
	known := make([]Key, 0, len(m.first))
	for k := range m.first {
		known = append(known, k)
	}
	slices.SortFunc(known, func(a, b Key) int { return strings.Compare(a.Text, b.Text) })
	if len(known) > 0 && rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
		k := known[rapid.IntRange(0, len(known)-1).Draw(t, "which")]
		opaque := k.Age(m.now, modelWindow) == modelWindow
		return k, !opaque || m.now.Sub(m.first[k]) <= modelWindow-modelTimeout
	}
	text := fmt.Sprintf("k%d", len(m.first))
	if rapid.Bool().Draw(t, "timed") {
		text = m.timedKey(t)
	}
	k := Key{Organisation: "o", Operation: "p", Text: text}
	m.first[k] = m.now
	return k, true
}

func (m *model) send(t *rapid.T) {
	front := m.daemon(t)
	key, ok := m.key(t)
	if !ok || !front.alive {
		return
	}
	holder := m.find(Holder(key, front.view))
	if holder != front && !m.reach(front.name, holder.name) {
		return
	}
	if Holder(key, holder.history.Hosts()) != holder.name {
		return
	}
	ticket := holder.ledger.Begin(key, Fingerprint{}, m.now)
	if ticket.Claim == Begun {
		m.pending = append(m.pending, &attempt{key: key, holder: holder, ledger: holder.ledger, ticket: ticket, begun: m.now})
		for range rapid.IntRange(0, 2).Draw(t, "steps at once") {
			m.step(t, len(m.pending)-1)
		}
	}
}

// step takes an attempt further: it asks the others, or its run ends.
func (m *model) step(t *rapid.T, i int) {
	if i < 0 || i >= len(m.pending) {
		return
	}
	a := m.pending[i]
	if a.ledger != a.holder.ledger || !a.holder.alive {
		m.pending = slices.Delete(m.pending, i, i+1)
		return
	}
	if a.running {
		a.ledger.Finish(a.key, call.Answer{Outcome: a.outcome}, m.now)
		m.pending = slices.Delete(m.pending, i, i+1)
		return
	}
	if m.now.Sub(a.begun) > modelTimeout || !m.isNew(a) {
		a.ledger.Release(a.key, m.now)
		m.pending = slices.Delete(m.pending, i, i+1)
		return
	}
	a.running = true
	a.outcome = outcomes[rapid.IntRange(0, len(outcomes)-1).Draw(t, "outcome")]
	if a.outcome != call.NotRun {
		m.runs[a.key]++
	}
	if m.runs[a.key] > 1 {
		t.Fatalf("key %s ran %d times, the last time at %s", a.key.Text, m.runs[a.key], a.holder.name)
	}
}

// confirm has a daemon ask which list the others of its own list have.
func (m *model) confirm(d *modelDaemon) {
	words := map[string]ListReport{}
	for _, name := range d.history.Everyone(m.now) {
		if name != d.name && m.reach(d.name, name) {
			words[name] = m.find(name).history.Report()
		}
	}
	d.history.Confirm(d.name, words, m.now)
}

func (m *model) isNew(a *attempt) bool {
	d := a.holder
	if !d.history.Confirmed(m.now) {
		m.confirm(d)
	}
	if !d.history.Confirmed(m.now) {
		return false
	}
	q := Evidence{
		Self: d.name, Own: d.ledger.Own(m.now), Moves: a.ticket.Moves, Window: modelWindow,
		Need: a.key.Age(m.now, modelWindow), Required: d.history.Required(a.key, m.now),
	}
	if q.Need > modelWindow {
		return false
	}
	if !q.Asking() {
		return true
	}
	q.Replies = map[string]RecallReply{}
	for _, name := range d.history.Everyone(m.now) {
		if name != d.name && m.reach(d.name, name) {
			other := m.find(name)
			reply := other.ledger.Recall(a.key, d.name, m.now)
			reply.Required = other.history.Required(a.key, m.now)
			q.Replies[name] = reply
		}
	}
	return q.New()
}

// leave ends a daemon that runs nothing, after it passed on its memory.
func (m *model) leave(d *modelDaemon) {
	for _, a := range m.pending {
		if a.ledger == d.ledger {
			return
		}
	}
	records, age := d.ledger.Records(m.now), d.ledger.Own(m.now).Age
	for _, name := range d.view {
		if name != d.name && m.reach(d.name, name) {
			m.find(name).ledger.Inherit(d.name, records, age, m.now)
		}
	}
	d.alive = false
}

func (m *model) cutOrHeal(t *rapid.T) {
	a, b := m.daemon(t).name, m.daemon(t).name
	m.cut[[2]string{a, b}] = rapid.Bool().Draw(t, "cut")
}

func (m *model) act(t *rapid.T) {
	switch rapid.IntRange(0, 21).Draw(t, "action") {
	case 0:
		m.publish(t)
	case 1, 2:
		m.advance(t)
	case 3, 16:
		if d := m.daemon(t); d.alive {
			m.learn(d)
		}
	case 17:
		if d := m.daemon(t); d.alive {
			m.confirm(d)
		}
	case 4:
		d := m.daemon(t)
		d.alive = false
		if rapid.Bool().Draw(t, "restarts") {
			m.start(d)
		}
	case 5:
		if d := m.daemon(t); !d.alive {
			m.start(d)
		}
	case 6:
		if d := m.daemon(t); d.alive {
			m.leave(d)
		}
	case 7:
		m.cutOrHeal(t)
	case 18:
		m.split(t)
	case 8, 9, 10, 11, 12, 13:
		m.send(t)
	default:
		if len(m.pending) > 0 {
			m.step(t, rapid.IntRange(0, len(m.pending)-1).Draw(t, "attempt"))
		}
	}
}

func TestNoKeyRunsTwice(t *testing.T) {
	// Daemons crash and come back without memory, leave and pass theirs on,
	// take up host lists at different times, skip some, and lose each other,
	// while callers repeat requests anywhere. A household is charged twice if
	// any two of them run a request with the same key.
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		if rapid.Bool().Draw(t, "begins parted") {
			m.part(t)
		}
		for range rapid.IntRange(1, 150).Draw(t, "actions") {
			m.act(t)
		}
	})
}
