package lists

import "github.com/foxtailhook/foxtailhook/internal/domain/enum"

//go:generate stringer -type=Kind -linecomment

// Kind is the kind of a published list.
type Kind uint8

const (
	// KindPlans is the list of organisations with their plan, rate and burst.
	KindPlans Kind = iota // plans
	// KindUses is the list of operations and of the operations that each plan allows.
	KindUses // uses
	// KindKeys is the list of the hashes of the organisations' keys.
	KindKeys // keys
	// KindHosts is the platform's list of live and leaving hosts.
	KindHosts // hosts
)

// Kinds is the number of published lists.
const Kinds = int(KindHosts) + 1

// MaxBytes is the size of the largest value that the platform stores, in bytes.
const MaxBytes = 1 << 20

// ParseKind returns the kind with the given name, or false if there is none.
func ParseKind(name string) (Kind, bool) { return enum.Parse(name, KindHosts) }
