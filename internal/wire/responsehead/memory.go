package responsehead

import (
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

var (
	// ErrTooManyFields means that the heads of a response have more fields than they may.
	ErrTooManyFields = errors.New("responsehead: too many fields")
	// ErrNoRoom means that there is no memory for a head that is larger than usual.
	ErrNoRoom = errors.New("responsehead: no memory for a large head")
)

const (
	// maxFields bounds the fields of a response, with those of the interim responses before it: each takes far more memory than its bytes.
	maxFields = 1000
	// fieldBytes is the memory in bytes that a field takes in a parsed head beside its own bytes.
	fieldBytes = 256
	// copies is how often the bytes of a head are in memory: as they were read, and parsed.
	copies = 2
	// usualBytes is the memory in bytes of a usual response's heads. It isn't counted: such a response isn't lost for the large heads of others.
	usualBytes = 32 << 10
)

// Memory counts what the heads of one response take, and bounds it.
type Memory struct {
	account       *bounded.Account
	bytes, fields int
	held          int64
	hold          *bounded.Hold
}

// NewMemory returns the memory of a response's heads, in an account unless that is nil.
func NewMemory(account *bounded.Account) Memory { return Memory{account: account} }

// Add counts further bytes and fields. The error is ErrTooManyFields or ErrNoRoom.
func (m *Memory) Add(bytes, fields int) error {
	m.bytes += bytes
	m.fields += fields
	if m.fields > maxFields {
		return ErrTooManyFields
	}
	needed := int64(copies*m.bytes + fieldBytes*m.fields)
	if needed <= max(m.held, usualBytes) || m.account == nil {
		return nil
	}
	return m.reserve(max(needed, 2*usualBytes, 2*m.held))
}

// reserve takes memory from the account, or more of it.
func (m *Memory) reserve(bytes int64) error {
	if m.hold == nil {
		hold, ok := m.account.TryTake(bounded.ResponseHead, bytes)
		if !ok {
			return ErrNoRoom
		}
		m.hold, m.held = hold, bytes
		return nil
	}
	if !m.hold.TryResize(bytes) {
		return ErrNoRoom
	}
	m.held = bytes
	return nil
}

// take returns the memory that is held, and holds none any more.
func (m *Memory) take() *bounded.Hold {
	hold := m.hold
	m.hold, m.held = nil, 0
	return hold
}

// Hold returns the memory that is held, nil if none is. It is to be released when the heads aren't used any more.
func (m *Memory) Hold() *bounded.Hold { return m.hold }
