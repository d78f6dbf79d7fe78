package scenario

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// endlessHeads are connections that send request heads without end.
type endlessHeads struct {
	senders sync.WaitGroup
	// open counts the connections that the daemon hadn't closed after eventTimeout.
	open atomic.Int64
}

const (
	trickleInterval = 100 * time.Millisecond
	floodLineBytes  = 1 << 10
)

// cmdHeads is heads NAME trickle|flood COUNT: open COUNT connections in the background and send endless heads, a byte
// every trickleInterval or as fast as possible, until the daemon closes them.
func cmdHeads(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "heads NAME trickle|flood COUNT")
	f := fleetOf(ts)
	address := f.address(f.hosts[args[0]].number, callersPort).String()
	count, err := strconv.Atoi(args[2])
	ts.Check(err)
	text, interval := "x", trickleInterval
	if args[1] == "flood" {
		text, interval = "X-Flood: "+strings.Repeat("x", floodLineBytes)+"\r\n", 0
	}
	h := &endlessHeads{}
	f.heads = h
	for range count {
		h.senders.Go(func() { h.send(address, text, interval, time.Now().Add(eventTimeout)) })
	}
}

func (h *endlessHeads) send(address, text string, interval time.Duration, end time.Time) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetWriteDeadline(end)
	_, err = conn.Write([]byte("POST /lookup/vehicles HTTP/1.1\r\n"))
	for err == nil && time.Now().Before(end) {
		time.Sleep(interval)
		_, err = conn.Write([]byte(text))
	}
	if !time.Now().Before(end) {
		h.open.Add(1)
	}
}

func cmdHeadsEnd(ts *testscript.TestScript, _ bool, _ []string) {
	h := fleetOf(ts).heads
	h.senders.Wait()
	fmt.Fprintf(ts.Stdout(), "open=%d\n", h.open.Load())
}
