package instance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
	"github.com/foxtailhook/foxtailhook/internal/proof/malformed"
)

// monitorEvent is one call of an observer's methods.
type monitorEvent struct {
	name      string
	cold      string
	reachable bool
	// at is when a health check was sent.
	at time.Time
}

// eventRecorder passes a monitor's calls to a channel.
type eventRecorder chan monitorEvent

func (r eventRecorder) Checking(now time.Time) { r <- monitorEvent{name: "checking", at: now} }

func (r eventRecorder) Checked(_ time.Time, status int, header http.Header) {
	r <- monitorEvent{name: fmt.Sprint(status), cold: header.Get("Cold")}
}

func (r eventRecorder) Disconnected(_ error, reachable bool) {
	r <- monitorEvent{name: "disconnected", reachable: reachable}
}

// runMonitor monitors the address until the test ends.
func runMonitor(t *testing.T, address netip.AddrPort) (*Monitor, eventRecorder) {
	events := make(eventRecorder, 1000)
	m := NewMonitor(address, events)
	m.SetPath("/health")
	startMonitor(t, m)
	return m, events
}

// startMonitor runs the monitor until the test ends.
func startMonitor(t *testing.T, m *Monitor) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { m.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
}

// respond answers health checks on the connection until it is closed.
func respond(c net.Conn, r *bufio.Reader, header string) {
	for {
		req, err := http.ReadRequest(r)
		if err != nil || req.URL.Path != "/health" {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s\r\nok", header)
	}
}

// await returns the next event with the name, skipping others.
func (r eventRecorder) await(name string) monitorEvent {
	for {
		select {
		case e := <-r:
			if e.name == name {
				return e
			}
		case <-time.After(10 * time.Second):
			return monitorEvent{name: "none of " + name}
		}
	}
}

func TestMonitor(t *testing.T) {
	Convey("A health check is sent at once, and when one is requested", t, func() {
		instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) { respond(c, r, "Cold: 2500\r\n") })
		m, events := runMonitor(t, instance.address)
		So(events.await("200").cold, ShouldEqual, "2500")
		m.Check()
		So(events.await("200").cold, ShouldEqual, "2500")
		So(instance.opened.Load(), ShouldEqual, 1)
	})
	Convey("A monitor without a path sends its first health check once it has one", t, func() {
		instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) { respond(c, r, "") })
		events := make(eventRecorder, 1000)
		m := NewMonitor(instance.address, events)
		startMonitor(t, m)
		m.SetPath("/health")
		So(events.await("200").name, ShouldEqual, "200")
	})
	// Guards against a second health check right after the first, for a request that the first has fulfilled.
	Convey("A health check fulfils the requests made before it", t, func() {
		instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) { respond(c, r, "") })
		for range 20 {
			m, events := runMonitor(t, instance.address)
			So(events.await("checking").name, ShouldEqual, "checking")
			So(m.requests, ShouldBeEmpty)
		}
	})
	// Guards against a restart that nobody notices, since no request was at work: the next ones would all reach a cold instance.
	Convey("The end of the connection is reported at once, and the instance is checked again on a new one", t, func() {
		closeFirst := make(chan struct{})
		instance := startInstance(t, func(number int64, c net.Conn, r *bufio.Reader) {
			if number == 1 {
				go func() { <-closeFirst; _ = c.Close() }()
			}
			respond(c, r, fmt.Sprintf("Cold: %d\r\n", number))
		})
		_, events := runMonitor(t, instance.address)
		So(events.await("200").cold, ShouldEqual, "1")
		close(closeFirst)
		So(events.await("disconnected").reachable, ShouldBeTrue)
		So(events.await("200").cold, ShouldEqual, "2")
	})
	Convey("An instance that doesn't respond is reported, as is one that accepts no connection", t, func() {
		silent := startInstance(t, func(_ int64, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadString(0) })
		_, events := runMonitor(t, silent.address)
		So(events.await("disconnected").reachable, ShouldBeTrue)
		_, events = runMonitor(t, loopback.Address())
		So(events.await("disconnected"), ShouldResemble, monitorEvent{name: "disconnected"})
	})
	// Guards against a suspicion each time an instance closes a connection that it has announced to close.
	Convey("An announced close is no disconnection", t, func() {
		instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		})
		_, events := runMonitor(t, instance.address)
		for range 6 {
			So((<-events).name, ShouldBeIn, "checking", "200")
		}
	})
	// Guards against hundreds of health checks a second of an instance that announces a close with each response, as one that leaves does.
	Convey("After an announced close the next health check waits for its time", t, func() {
		instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		})
		_, events := runMonitor(t, instance.address)
		first := events.await("checking")
		second := events.await("checking")
		So(second.at.Sub(first.at), ShouldBeGreaterThanOrEqualTo, checkInterval)
	})
}

// TestEarlierHealthResponse guards against a second response to a health check that is taken for the response to the next one.
func TestEarlierHealthResponse(t *testing.T) {
	Convey("What was there before the health check isn't its response", t, func() {
		var err error
		events := make(eventRecorder, 10)
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			defer func() { _ = near.Close() }()
			m := NewMonitor(netip.AddrPort{}, events)
			m.SetPath("/health")
			responses, done := make(chan healthResponse), make(chan struct{})
			defer close(done)
			go readResponses(near, responses, done)
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCold: again\r\n\r\n")
			time.Sleep(time.Millisecond)
			go respond(far, bufio.NewReader(far), "Cold: own\r\n")
			_, err = m.check(near, responses)
			_ = near.Close()
			synctest.Wait()
		})
		So(err, ShouldNotBeNil)
		So(events.await("checking").name, ShouldEqual, "checking")
		So(events, ShouldBeEmpty)
	})
}

// TestMalformedHealthResponses guards against a response to a health check that is taken for a good one although its head or its trailer is
// malformed.
func TestMalformedHealthResponses(t *testing.T) {
	const end, inChunks = "Content-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nCold: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	check := func(text string) {
		instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, text)
			_, _ = r.ReadByte()
		})
		_, events := runMonitor(t, instance.address)
		So((<-events).name, ShouldEqual, "checking")
		So(<-events, ShouldResemble, monitorEvent{name: "disconnected", reachable: true})
	}
	for _, field := range malformed.Fields {
		Convey("A health check isn't answered by a head with "+field.Name, t, func() { check("HTTP/1.1 200 OK\r\nCold: 1\r\n" + field.Text + end) })
	}
	for _, line := range malformed.StatusLines {
		Convey("A health check isn't answered by a head with "+line.Name, t, func() { check(line.Text + "\r\nCold: 1\r\n" + end) })
	}
	for _, trailer := range malformed.Trailers {
		Convey("A health check isn't answered by a trailer with "+trailer.Name, t, func() { check(inChunks + trailer.Text + "\r\n") })
	}
}
