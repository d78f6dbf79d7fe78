package responsehead

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// headLimits leave 4 MiB to heads.
var headLimits = bounded.Limits{Total: 64 << 20, Each: 16 << 20, Small: 1 << 20}

// TestMemoryOfHeads guards against heads whose memory nobody counts: many at once would take the process beyond its memory.
func TestMemoryOfHeads(t *testing.T) {
	Convey("A usual head takes nothing from the account", t, func() {
		account := bounded.NewAccount(headLimits)
		m := NewMemory(account)
		So(m.Add(2000, 40), ShouldBeNil)
		So(account.Held(), ShouldEqual, 0)
	})
	Convey("A large one takes what it needs, its fields included, and gives it back", t, func() {
		account := bounded.NewAccount(headLimits)
		m := NewMemory(account)
		for range 100 {
			So(m.Add(2000, 9), ShouldBeNil)
		}
		So(account.Held(), ShouldBeGreaterThanOrEqualTo, 100*(copies*2000+9*fieldBytes))
		m.Hold().Release()
		So(account.Held(), ShouldEqual, 0)
	})
	Convey("More fields than a head may have are an error", t, func() {
		m := NewMemory(nil)
		So(m.Add(7*maxFields, maxFields), ShouldBeNil)
		So(errors.Is(m.Add(7, 1), ErrTooManyFields), ShouldBeTrue)
	})
	Convey("Without room a large head is an error, and a usual one isn't", t, func() {
		account := bounded.NewAccount(headLimits)
		var refused error
		var held []*bounded.Hold
		for refused == nil && len(held) < 1000 {
			m := NewMemory(account)
			refused = m.Add(100<<10, 100)
			held = append(held, m.Hold())
		}
		So(errors.Is(refused, ErrNoRoom), ShouldBeTrue)
		usual := NewMemory(account)
		So(usual.Add(1000, 20), ShouldBeNil)
		for _, hold := range held {
			hold.Release()
		}
		So(account.Held(), ShouldEqual, 0)
	})
}

// TestMemoryOfConnections guards against a connection that keeps the memory of a head when it is closed or used again.
func TestMemoryOfConnections(t *testing.T) {
	large := "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 100<<10) + "\r\n\r\n"
	read := func(account *bounded.Account) *Conn {
		near, far := net.Pipe()
		c := NewConn(near, account)
		c.Expect()
		go func() { _, _ = io.WriteString(far, large) }()
		_, err := io.ReadFull(c, make([]byte, len(large)))
		So(err, ShouldBeNil)
		So(account.Held(), ShouldBeGreaterThan, 100<<10)
		return c
	}
	Convey("The memory is given back with the next request", t, func() {
		account := bounded.NewAccount(headLimits)
		read(account).Expect()
		So(account.Held(), ShouldEqual, 0)
	})
	Convey("The memory is given back by who has taken it over", t, func() {
		account := bounded.NewAccount(headLimits)
		c := read(account)
		hold := c.TakeHold()
		So(c.TakeHold(), ShouldBeNil)
		c.Expect()
		So(account.Held(), ShouldBeGreaterThan, 100<<10)
		hold.Release()
		So(account.Held(), ShouldEqual, 0)
	})
	Convey("The memory is given back with the connection", t, func() {
		account := bounded.NewAccount(headLimits)
		c := read(account)
		So(c.Close(), ShouldBeNil)
		So(c.Close(), ShouldBeNil)
		So(account.Held(), ShouldEqual, 0)
	})
	Convey("A head with too many fields ends the connection", t, func() {
		near, far := net.Pipe()
		c := NewConn(near, nil)
		c.Expect()
		go func() { _, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n"+strings.Repeat("a:\r\n", maxFields+1)) }()
		_, err := io.ReadAll(c)
		So(errors.Is(err, ErrTooManyFields), ShouldBeTrue)
	})
}
