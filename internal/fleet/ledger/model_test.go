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

// Callers retry within the window less the maximum time that a request may take.
const (
	modelWindow  = time.Minute
	modelTimeout = 10 * time.Second
)

// modelDaemon is one daemon of the model, running or not.
type modelDaemon struct {
	name      string
	alive     bool
	ledger    *Ledger
	history   *History
	hosts     []string
	listIndex int
}

// attempt is a request that has claimed its key at a holder.
type attempt struct {
	key     Key
	holder  *modelDaemon
	ledger  *Ledger
	ticket  Ticket
	started time.Time
	running bool
	outcome call.Outcome
}

// outcomes are the outcomes that runs are drawn from; most are whole.
var outcomes = []call.Outcome{call.Whole, call.Whole, call.Whole, call.Unknown, call.NotRun}

// model is a fleet with one service, whose daemons crash, leave, lag behind with lists and lose connection to each other.
type model struct {
	now     time.Time
	daemons []*modelDaemon
	lists   [][]string
	// unreachable has the pairs of daemons, in either order, that can't reach each other.
	unreachable map[[2]string]bool
	pending     []*attempt
	firstSent   map[Key]time.Time
	runs        map[Key]int
}

func newModel() *model {
	m := &model{now: time.Unix(1_700_000_000, 0), unreachable: map[[2]string]bool{}, firstSent: map[Key]time.Time{}, runs: map[Key]int{}}
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
	d.listIndex = -1
	m.updateList(d)
}

func (m *model) updateList(d *modelDaemon) {
	d.listIndex = len(m.lists) - 1
	d.hosts = m.lists[d.listIndex]
	d.history.Observe(uint64(d.listIndex+1), d.hosts, m.now)
}

func (m *model) daemon(name string) *modelDaemon {
	for _, d := range m.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

func (m *model) canReach(a, b string) bool {
	return m.daemon(b).alive && !m.unreachable[[2]string{a, b}] && !m.unreachable[[2]string{b, a}]
}

// advanceTime advances the clock; running daemons confirm their lists several times a window.
func (m *model) advanceTime(t *rapid.T) {
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

func (m *model) drawDaemon(t *rapid.T) *modelDaemon {
	return m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")]
}

// drawTimedKey returns a UUID of version 7 made by a caller whose clock is off by up to the assumed skew.
func (m *model) drawTimedKey(t *rapid.T) string {
	offset := time.Duration(rapid.IntRange(-int(MaxClockSkew/time.Millisecond), int(MaxClockSkew/time.Millisecond)).Draw(t, "skew")) * time.Millisecond
	id := uuid.UUID{}
	binary.BigEndian.PutUint64(id[:], uint64(m.now.Add(offset).UnixMilli())<<16)
	id[6] = 0x70
	id[8] = 0x80
	binary.BigEndian.PutUint32(id[12:], uint32(len(m.firstSent)))
	return id.String()
}

// drawKey returns a new key, or one that was sent earlier; false means that it is an opaque key too old for a retry.
func (m *model) drawKey(t *rapid.T) (Key, bool) {
	known := make([]Key, 0, len(m.firstSent))
	for k := range m.firstSent {
		known = append(known, k)
	}
	slices.SortFunc(known, func(a, b Key) int { return strings.Compare(a.Text, b.Text) })
	if len(known) > 0 && rapid.IntRange(0, 3).Draw(t, "retry") > 0 {
		k := known[rapid.IntRange(0, len(known)-1).Draw(t, "which")]
		opaque := k.MaxAge(m.now, modelWindow) == modelWindow
		return k, !opaque || m.now.Sub(m.firstSent[k]) <= modelWindow-modelTimeout
	}
	text := fmt.Sprintf("k%d", len(m.firstSent))
	if rapid.Bool().Draw(t, "timed") {
		text = m.drawTimedKey(t)
	}
	k := Key{Organisation: "o", Operation: "p", Text: text}
	m.firstSent[k] = m.now
	return k, true
}

func (m *model) send(t *rapid.T) {
	ingress := m.drawDaemon(t)
	key, ok := m.drawKey(t)
	if !ok || !ingress.alive {
		return
	}
	holder := m.daemon(Holder(key, ingress.hosts))
	if holder != ingress && !m.canReach(ingress.name, holder.name) {
		return
	}
	if Holder(key, holder.history.Hosts()) != holder.name {
		return
	}
	ticket := holder.ledger.Begin(key, Fingerprint{}, m.now)
	if ticket.Claim == Begun {
		m.pending = append(m.pending, &attempt{key: key, holder: holder, ledger: holder.ledger, ticket: ticket, started: m.now})
		for range rapid.IntRange(0, 2).Draw(t, "steps at once") {
			m.advanceAttempt(t, len(m.pending)-1)
		}
	}
}

// advanceAttempt carries out the next step of an attempt: it recalls the key from the others and starts, or its run ends.
func (m *model) advanceAttempt(t *rapid.T, i int) {
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
	if m.now.Sub(a.started) > modelTimeout || !m.provenNew(a) {
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

// confirm makes a daemon ask all hosts of its retained lists for their list reports.
func (m *model) confirm(d *modelDaemon) {
	reports := map[string]ListReport{}
	for _, name := range d.history.AllHosts(m.now) {
		if name != d.name && m.canReach(d.name, name) {
			reports[name] = m.daemon(name).history.Report()
		}
	}
	d.history.Confirm(d.name, reports, m.now)
}

func (m *model) provenNew(a *attempt) bool {
	d := a.holder
	if !d.history.Confirmed(m.now) {
		m.confirm(d)
	}
	if !d.history.Confirmed(m.now) {
		return false
	}
	evidence := Evidence{
		Self: d.name, Own: d.ledger.Coverage(m.now), Transfers: a.ticket.Transfers, Window: modelWindow,
		MaxKeyAge: a.key.MaxAge(m.now, modelWindow), PossibleHolders: d.history.PossibleHolders(a.key, m.now),
	}
	if evidence.MaxKeyAge > modelWindow {
		return false
	}
	if !evidence.NeedsRecall() {
		return true
	}
	evidence.Replies = map[string]RecallReply{}
	for _, name := range d.history.AllHosts(m.now) {
		if name != d.name && m.canReach(d.name, name) {
			other := m.daemon(name)
			reply := other.ledger.Recall(a.key, d.name, m.now)
			reply.PossibleHolders = other.history.PossibleHolders(a.key, m.now)
			evidence.Replies[name] = reply
		}
	}
	return evidence.ProvesNew()
}

// leave stops a daemon that runs no request, after it handed its records over.
func (m *model) leave(d *modelDaemon) {
	for _, a := range m.pending {
		if a.ledger == d.ledger {
			return
		}
	}
	records, age := d.ledger.Records(m.now), d.ledger.Coverage(m.now).MemoryAge
	for _, name := range d.hosts {
		if name != d.name && m.canReach(d.name, name) {
			m.daemon(name).ledger.Inherit(d.name, records, age, m.now)
		}
	}
	d.alive = false
}

func (m *model) changeReachability(t *rapid.T) {
	a, b := m.drawDaemon(t).name, m.drawDaemon(t).name
	m.unreachable[[2]string{a, b}] = rapid.Bool().Draw(t, "cut")
}

func (m *model) randomAction(t *rapid.T) {
	switch rapid.IntRange(0, 21).Draw(t, "action") {
	case 0:
		m.publish(t)
	case 1, 2:
		m.advanceTime(t)
	case 3, 16:
		if d := m.drawDaemon(t); d.alive {
			m.updateList(d)
		}
	case 17:
		if d := m.drawDaemon(t); d.alive {
			m.confirm(d)
		}
	case 4:
		d := m.drawDaemon(t)
		d.alive = false
		if rapid.Bool().Draw(t, "restarts") {
			m.start(d)
		}
	case 5:
		if d := m.drawDaemon(t); !d.alive {
			m.start(d)
		}
	case 6:
		if d := m.drawDaemon(t); d.alive {
			m.leave(d)
		}
	case 7:
		m.changeReachability(t)
	case 18:
		m.partition(t)
	case 8, 9, 10, 11, 12, 13:
		m.send(t)
	default:
		if len(m.pending) > 0 {
			m.advanceAttempt(t, rapid.IntRange(0, len(m.pending)-1).Draw(t, "attempt"))
		}
	}
}

func TestNoKeyRunsTwice(t *testing.T) {
	// Daemons crash and restart without records, leave and hand theirs over,
	// receive host lists at different times, miss some, and lose connection to each
	// other, while callers retry requests anywhere. A household is charged twice if
	// two daemons run a request with the same key.
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		if rapid.Bool().Draw(t, "starts partitioned") {
			m.partitionAndReplace(t)
		}
		for range rapid.IntRange(1, 150).Draw(t, "actions") {
			m.randomAction(t)
		}
	})
}
