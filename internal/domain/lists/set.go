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
	plans    *Plans
	uses     *Uses
	keys     *Keys
	hosts    *Hosts
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

func (s *Set) parse(v Value) error {
	var err error
	switch v.Kind {
	case KindPlans:
		err = adopt(&s.plans, v.Raw)
	case KindUses:
		err = adopt(&s.uses, v.Raw)
	case KindKeys:
		err = adopt(&s.keys, v.Raw)
	case KindHosts:
		err = adopt(&s.hosts, v.Raw)
	}
	return err
}

func adopt[T any, P Checked[T]](into **T, raw []byte) error {
	value, err := Parse[T, P](raw)
	if err != nil {
		return err
	}
	*into = value
	return nil
}

// Value returns the value in force of one list; version 0 means none.
func (s *Set) Value(k Kind) Value { return s.raw[k] }

// Rejection returns the newest rejected value of one list; version 0 means none.
func (s *Set) Rejection(k Kind) Rejection { return s.rejected[k] }

// View returns an immutable view of what is in force.
func (s *Set) View() *View {
	var versions [Kinds]uint64
	for k := range versions {
		versions[k] = s.raw[k].Version
	}
	return NewView(versions, s.plans, s.uses, s.keys, s.hosts)
}
