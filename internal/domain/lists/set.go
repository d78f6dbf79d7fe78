package lists

//go:generate stringer -type=Verdict -linecomment

// Verdict is the result of offering a value to a Set.
type Verdict uint8

const (
	// Accepted means that the value is in force now.
	Accepted Verdict = iota // accepted
	// Old means that a version at least as new is in force or was rejected; nothing changed.
	Old // old
	// Rejected means that the value has faults; the last accepted one stays in force.
	Rejected // rejected
)

// Value is one published version of a list, as undecoded JSON.
type Value struct {
	Kind    Kind
	Version uint64
	Raw     []byte
}

// Rejection is the last rejected version of a list, with its faults.
type Rejection struct {
	Version uint64 `json:"version"`
	Faults  Faults `json:"faults"`
}

// Set holds the four lists. It keeps the highest accepted version of each, so
// that a source that is stale or was paused can't put an older value back in
// force. Only the control goroutine may use it.
type Set struct {
	raw      [Kinds]Value
	rejected [Kinds]Rejection
	plans    table[Organisation, *Organisation]
	keys     table[Key, *Key]
	hosts    table[Host, *Host]
	view     View
}

// NewSet returns a set without any list in force.
func NewSet() *Set { return &Set{} }

// Offer puts the value in force if it is newer than the one in force and has no faults.
func (s *Set) Offer(v Value) (Verdict, Faults) {
	if v.Version <= s.raw[v.Kind].Version || v.Version == s.rejected[v.Kind].Version {
		return Old, nil
	}
	if err := s.apply(v); err != nil {
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

// apply decodes the value into the tables and the view, or returns its faults.
func (s *Set) apply(v Value) error {
	before := s.raw[v.Kind].Raw
	switch v.Kind {
	case KindPlans:
		plans, err := load(&s.plans, "organisations", before, v.Raw, func(p *Plans) []Organisation { return p.Organisations })
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
		keys, err := load(&s.keys, "keys", before, v.Raw, func(k *Keys) []Key { return k.Keys })
		if err != nil {
			return err
		}
		s.view.keysView = newKeysView(keys)
	case KindHosts:
		hosts, err := load(&s.hosts, "hosts", before, v.Raw, func(h *Hosts) []Host { return h.Hosts })
		if err != nil {
			return err
		}
		s.view.hostsView = newHostsView(hosts)
	}
	return nil
}

// load replaces the table by the one in the text after. It decodes only what differs from the text before if
// it can, else the whole text as a table. If both fail it calls Parse, which reports the faults and also
// accepts values in another form; entriesOf returns the entries of such a value.
func load[T any, C Checked[T], E any, P checkedEntry[E]](
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

// Value returns the list's value in force; its version is 0 if there is none.
func (s *Set) Value(k Kind) Value { return s.raw[k] }

// Rejection returns the list's last rejected value; its version is 0 if there is none.
func (s *Set) Rejection(k Kind) Rejection { return s.rejected[k] }

// View returns an immutable view of the lists in force.
func (s *Set) View() *View {
	view := s.view
	for k := range view.versions {
		view.versions[k] = s.raw[k].Version
	}
	return &view
}
