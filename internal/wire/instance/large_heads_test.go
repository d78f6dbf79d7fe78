package instance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

const (
	// headsAtOnce is the number of requests whose responses have heads without end.
	headsAtOnce = 400
	// headsMemory is the memory in bytes of the process whose messages the account counts.
	headsMemory = 284 << 20
	// maxHeadsPeak is the largest heap in bytes that all heads may take: a sixteenth of the memory, which is their room in the account, once more for
	// buffers that have grown, and 64 KiB a connection for what isn't counted.
	maxHeadsPeak = 2*headsMemory/16 + headsAtOnce*64<<10
)

// TestManyHeadsAtOnce guards against a process that is killed for its memory, with all requests that it holds, since an instance in trouble answers many
// requests with heads that don't end: each is bounded, and all together weren't.
func TestManyHeadsAtOnce(t *testing.T) {
	var short strings.Builder
	for n := 0; short.Len() < 128<<10; n++ {
		_, _ = fmt.Fprintf(&short, "%x:\r\n", n)
	}
	for _, c := range []struct{ name, begin string }{
		{"short lines", short.String()},
		{"long lines", strings.Repeat("X-Line: "+strings.Repeat("x", 1000)+"\r\n", 200)},
		{"one line", "X-Line: " + strings.Repeat("x", 200<<10)},
	} {
		Convey("Heads of "+c.name+" stay within their room, and others are read beside them", t, func() {
			// The connections of the instance share the bytes: copies of them would be a part of the measured heap.
			begin := []byte("HTTP/1.1 200 OK\r\n" + c.begin)
			var begun atomic.Int64
			instance := startInstance(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				id, _, ok := readRequest(r)
				if id == "sound" {
					_, _ = io.WriteString(conn, response(id, "body"))
					return
				}
				if ok {
					_, _ = conn.Write(begin)
					begun.Add(1)
					_, _ = r.ReadByte()
				}
			})
			account := bounded.NewAccount(bounded.LimitsOf(headsMemory))
			client := New(instance.address, WithAccount(account))
			defer client.Close()
			var lost atomic.Int64
			var sound Response
			var soundErr error
			peak := peakDuring(func() {
				var sending sync.WaitGroup
				for n := range headsAtOnce {
					sending.Go(func() {
						r := request(strconv.Itoa(n))
						r.Deadline = time.Now().Add(3 * time.Second)
						if _, err := client.Do(t.Context(), r); errors.Is(err, ErrLost) {
							lost.Add(1)
						}
					})
				}
				for begun.Load() < headsAtOnce/2 {
					time.Sleep(time.Millisecond)
				}
				sound, soundErr = client.Do(t.Context(), request("sound"))
				sending.Wait()
			})
			t.Logf("%s: peak %d MB", c.name, peak>>20)
			So(soundErr, ShouldBeNil)
			sound.Hold.Release()
			So(lost.Load(), ShouldEqual, headsAtOnce)
			So(peak, ShouldBeLessThan, uint64(maxHeadsPeak))
			So(account.Held(), ShouldEqual, 0)
		})
	}
	Convey("The memory of a large head is held until the response isn't used any more", t, func() {
		account := bounded.NewAccount(bounded.LimitsOf(headsMemory))
		instance := startInstance(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			if id, _, ok := readRequest(r); ok {
				_, _ = io.WriteString(conn, strings.Replace(response(id, "body"), "\r\n", "\r\nX-Long: "+strings.Repeat("x", 100<<10)+"\r\n", 1))
			}
		})
		client := New(instance.address, WithAccount(account))
		res, err := client.Do(t.Context(), request("1"))
		So(err, ShouldBeNil)
		So(account.Usage(bounded.ResponseHead).Bytes, ShouldBeGreaterThan, 200<<10)
		res.Hold.Release()
		So(account.Held(), ShouldEqual, 0)
	})
}
