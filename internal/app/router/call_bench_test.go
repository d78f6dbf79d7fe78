package router

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// benchHeads are headers as a platform might define them.
type benchHeads struct{}

func (benchHeads) Caller(h http.Header) (CallerHead, error) {
	head := CallerHead{RequestID: h.Get("Request-Id"), Key: h.Get("Authorization")}
	ms, _ := strconv.Atoi(h.Get("Deadline-Ms"))
	head.Timeout = time.Duration(ms) * time.Millisecond
	for _, name := range []string{"Request-Id", "Authorization", "Deadline-Ms"} {
		h.Del(name)
	}
	return head, nil
}

func (benchHeads) Forward(h http.Header, f Forwarded) {
	h.Set("Request-Id", f.RequestID)
	h.Set("Deadline-Ms", strconv.FormatInt(f.Timeout.Milliseconds(), 10))
	h.Set("Target-Instance", f.Instance)
	h.Set("Caller-Service", f.CallerService)
	h.Set("Organisation", f.Organisation)
}

func (benchHeads) Answer(_ int, h http.Header) InstanceHead {
	return InstanceHead{RequestID: h.Get("Request-Id"), Authentic: h.Get("Signature") != ""}
}

func (benchHeads) Health(int, http.Header) (time.Duration, bool) { return 0, true }

func (benchHeads) Unread(http.Header) []string { return nil }

func (benchHeads) Refuse(http.Header, string, time.Duration) {}

// fixedSource publishes the same catalog at all times.
type fixedSource struct{ changes catalog.Changes }

func (s fixedSource) Read(context.Context) (catalog.Changes, error) { return s.changes, nil }

func (s fixedSource) Watch(ctx context.Context, after uint64, wait time.Duration) (catalog.Changes, error) {
	sleep(ctx, wait)
	return catalog.Changes{Revision: after}, nil
}

// benchID is the ID of a request in a response, which is replaced by that of the request. IDs must differ: a connection isn't reused for a request
// with an ID that was sent on it before.
const benchID = "9c41d07be2a35f68"

// serveRaw answers each request on the address with a fixed response, with as little work as possible.
func serveRaw(b *testing.B, address netip.AddrPort, response []byte) {
	idHead := []byte("Request-Id: ")
	idAt := bytes.Index(response, []byte(benchID))
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				buffer, response := make([]byte, 64<<10), bytes.Clone(response)
				for {
					n, err := c.Read(buffer)
					if err != nil {
						return
					}
					if i := bytes.Index(buffer[:n], idHead); i >= 0 {
						copy(response[idAt:idAt+len(benchID)], buffer[i+len(idHead):n])
					}
					for range bytes.Count(buffer[:n], []byte("\r\n\r\n")) {
						_, _ = c.Write(response)
					}
				}
			}()
		}
	}()
}

// startBenchRouter starts a daemon on its own loopback address, for an instance of the service.
func startBenchRouter(b *testing.B, ip netip.Addr, service string, changes catalog.Changes) *Router {
	log := telemetry.NewLog(io.Discard, logrus.InfoLevel)
	r := New(Settings{
		Host: service, Zone: "z", Service: service, Callers: netip.AddrPortFrom(ip, 1001), Peers: netip.AddrPortFrom(ip, 1002), Health: netip.AddrPortFrom(ip, 1003),
		Instance: netip.AddrPortFrom(ip, 1004), Repeats: repeats.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, LeaveTime: time.Second,
	}, fixedSource{changes}, benchHeads{}, log)
	if err := r.start(); err != nil {
		b.Fatal(err)
	}
	return r
}

// BenchmarkCallThroughTwoDaemons measures one request from a caller through its daemon and the one beside the instance, with the sockets, the
// caller and the instance.
func BenchmarkCallThroughTwoDaemons(b *testing.B) {
	caller, callee := loopback.Address().Addr(), loopback.Address().Addr()
	changes := catalog.Changes{Revision: 2, Whole: true, Entries: []catalog.Entry{
		{Revision: 1, Config: &routing.Config{
			Version: 1, Services: map[string]routing.Service{"front": {}, "back": {}},
			Routes:        []routing.Route{{Name: "r", Host: "a.example", Prefix: "/x/", Parts: []routing.Part{{Service: "back", Weight: 1}}, Attempts: 2}},
			Organisations: []routing.Organisation{{Name: "o", Keys: []string{"k"}}},
		}},
		{Key: "i/1", Revision: 2, Instance: &routing.Instance{ID: "front-1", Service: "front", Zone: "z", Address: netip.AddrPortFrom(caller, 1004), Slots: 50}},
		{Key: "i/2", Revision: 2, Instance: &routing.Instance{ID: "back-1", Service: "back", Zone: "z", Address: netip.AddrPortFrom(callee, 1004), Slots: 50}},
	}}
	body := bytes.Repeat([]byte("x"), 400)
	response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nRequest-Id: "+benchID+"\r\nSignature: s\r\nKeep-Alive: timeout=10\r\nLoad: 3,0,8\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	serveRaw(b, netip.AddrPortFrom(callee, 1004), response)
	front, back := startBenchRouter(b, caller, "front", changes), startBenchRouter(b, callee, "back", changes)
	defer front.stop()
	defer back.stop()
	for front.view.Load().Table == nil || back.view.Load().Table == nil {
		time.Sleep(time.Millisecond)
	}
	c, err := net.Dial("tcp", front.settings.Callers.String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	request := []byte("GET /x/lookup?vin=1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + benchID + "\r\nDeadline-Ms: 5000\r\nAuthorization: k\r\nAccept: */*\r\nUser-Agent: bench\r\n\r\n")
	reader := bufio.NewReader(c)
	b.ReportAllocs()
	before, sent, idAt := processorTime(), 0, bytes.Index(request, []byte(benchID))
	for b.Loop() {
		sent++
		copy(request[idAt:], fmt.Sprintf("%016x", sent))
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		res, err := http.ReadResponse(reader, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			raw, _ := io.ReadAll(res.Body)
			b.Fatal(err, res.StatusCode, string(raw))
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	b.ReportMetric(float64((processorTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}
