package lists

//go:generate stringer -type=Verdict -linecomment

// Verdict tells what became of an offered value.
type Verdict uint8

const (
	// Accepted means that the value is now in force.
	Accepted Verdict = iota // accepted
	// Old means that a version at least as new is in force or was rejected; nothing changed.
	Old // old
	// Rejected means that the value has faults; the last accepted one stays in force.
	Rejected // rejected
)

// Value is one version of one list as it was published.
type Value struct {
	Kind    Kind
	Version uint64
	Raw     []byte
}

// Rejection is the newest value of a list that was not accepted.
type Rejection struct {
	Version uint64 `json:"version"`
	Faults  Faults `json:"faults"`
}

// Set is the aggregate of the four lists: it keeps the greatest accepted
// version of each, so that a stale source or one that wakes late can't bring
// an older value back in force. It belongs to the control thread.
type Set struct {
	raw      [Kinds]Value
	rejected [Kinds]Rejection
	plans    table[Organisation, *Organisation]
	keys     table[Key, *Key]
	hosts    table[Host, *Host]
	view     View
}

// NewSet returns a set with nothing in force.
func NewSet() *Set { return &Set{} }

// Offer puts the value in force if it is newer than what is there and has no faults.
func (s *Set) Offer(v Value) (Verdict, Faults) {
	if v.Version <= s.raw[v.Kind].Version || v.Version == s.rejected[v.Kind].Version {
		return Old, nil
	}
	if err := s.parse(v); err != nil {
		list, ok := err.(Faults)
		if !ok {
			list = Faults{{Place: "value", Text: err.Error()}}
		}
		s.rejected[v.Kind] = Rejection{Version: v.Version, Faults: list}
		return Rejected, list
	}
	s.raw[v.Kind] = v
	return Accepted, nil
}

// parse takes the value over into the tables and the view, or returns what is wrong with it.
func (s *Set) parse(v Value) error {
	before := s.raw[v.Kind].Raw
	switch v.Kind {
	case KindPlans:
		plans, err := adopt(&s.plans, "organisations", before, v.Raw, func(p *Plans) []Organisation { return p.Organisations })
		if err != nil {
			return err
		}
		s.view.plansView = newPlansView(plans)
	case KindUses:
		uses, err := Parse[Uses](v.Raw)
		if err != nil {
			return err
		}
		s.view.usesView = newUsesView(uses)
	case KindKeys:
		keys, err := adopt(&s.keys, "keys", before, v.Raw, func(k *Keys) []Key { return k.Keys })
		if err != nil {
			return err
		}
		s.view.keysView = newKeysView(keys)
	case KindHosts:
		hosts, err := adopt(&s.hosts, "hosts", before, v.Raw, func(h *Hosts) []Host { return h.Hosts })
		if err != nil {
			return err
		}
		s.view.hostsView = newHostsView(hosts)
	}
	return nil
}

// adopt reads the text after as a change of the text before, or as a whole table. What is neither is judged
// by Parse, which alone finds faults; entriesOf is for what it accepts in another form.
func adopt[T any, C Checked[T], E any, P ruled[E]](
	t *table[E, P], field string, before, after []byte, entriesOf func(*T) []E,
) ([]E, error) {
	if len(after) <= MaxBytes {
		if changed, err := t.change(before, after); err == nil {
			*t = *changed
			return t.entries, nil
		}
		var whole table[E, P]
		if err := whole.read(after, field); err == nil {
			*t = whole
			return t.entries, nil
		}
	}
	value, err := Parse[T, C](after)
	if err != nil {
		return nil, err
	}
	*t = table[E, P]{entries: entriesOf(value)}
	return t.entries, nil
}

// Value returns the value in force of one list; version 0 means none.
func (s *Set) Value(k Kind) Value { return s.raw[k] }

// Rejection returns the newest rejected value of one list; version 0 means none.
func (s *Set) Rejection(k Kind) Rejection { return s.rejected[k] }

// View returns an immutable view of what is in force.
func (s *Set) View() *View {
	view := s.view
	for k := range view.versions {
		view.versions[k] = s.raw[k].Version
	}
	return &view
}
