package peer

import (
	"context"
	"math"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// report is a message with fields of all types that messages between daemons have, as one release has it.
type report struct {
	From  netip.AddrPort    `msgpack:"from"`
	Age   time.Duration     `msgpack:"age"`
	Rates map[string]sample `msgpack:"rates"`
	Hosts []netip.Addr      `msgpack:"hosts"`
	Final bool              `msgpack:"final"`
	At    time.Time
}

type sample struct {
	Count  int64   `msgpack:"count"`
	Weight float64 `msgpack:"weight"`
}

// newerReport is a report of a later release, with a further field at the end.
type newerReport struct {
	From   netip.AddrPort    `msgpack:"from"`
	Age    time.Duration     `msgpack:"age"`
	Rates  map[string]sample `msgpack:"rates"`
	Hosts  []netip.Addr      `msgpack:"hosts"`
	Final  bool              `msgpack:"final"`
	At     time.Time
	Factor float64 `msgpack:"factor"`
}

// olderReport is a report of an earlier release, without the last fields.
type olderReport struct {
	From  netip.AddrPort    `msgpack:"from"`
	Age   time.Duration     `msgpack:"age"`
	Rates map[string]sample `msgpack:"rates"`
}

// deeperReport differs from a report only in a type inside it.
type deeperReport struct {
	From  netip.AddrPort          `msgpack:"from"`
	Age   time.Duration           `msgpack:"age"`
	Rates map[string]longerSample `msgpack:"rates"`
	Hosts []netip.Addr            `msgpack:"hosts"`
	Final bool                    `msgpack:"final"`
	At    time.Time
}

type longerSample struct {
	Count  int64   `msgpack:"count"`
	Weight float64 `msgpack:"weight"`
	Note   string  `msgpack:"note"`
}

func fullReport() report {
	return report{
		From: netip.MustParseAddrPort("10.0.0.1:80"), Age: 3 * time.Millisecond, Rates: map[string]sample{"a": {Count: 400, Weight: 0.25}, "b": {Weight: 1}},
		Hosts: []netip.Addr{netip.MustParseAddr("10.0.0.2")}, Final: true, At: time.Unix(1_700_000_000, 5).UTC(),
	}
}

func (r report) equals(other report) {
	So(other.At.Equal(r.At), ShouldBeTrue)
	r.At, other.At = time.Time{}, time.Time{}
	So(other, ShouldResemble, r)
}

// transcode encodes a value and decodes the bytes into another type.
func transcode[To any](value any, form encodingForm) (To, error) {
	var to To
	payload, err := encode(value, form)
	if err != nil {
		return to, err
	}
	return to, msgpack.Unmarshal(payload, &to)
}

func TestBothEncodingsDecodeIntoOneType(t *testing.T) {
	// While a fleet is upgraded, a daemon gets messages by name from daemons of the earlier release and by position from others. If one of
	// the forms decoded wrongly, heartbeats or requests would be lost, or carry other values than were sent.
	Convey("A value decodes from both encodings", t, func() {
		for _, form := range []encodingForm{byName, byPosition} {
			for _, value := range []report{{}, fullReport()} {
				got, err := transcode[report](value, form)
				So(err, ShouldBeNil)
				value.equals(got)
			}
		}
	})
	Convey("Bytes of the earlier release decode", t, func() {
		earlier, err := msgpack.Marshal(fullReport())
		So(err, ShouldBeNil)
		var got report
		So(msgpack.Unmarshal(earlier, &got), ShouldBeNil)
		fullReport().equals(got)
	})
	Convey("By name, missing fields are zero and unknown fields are ignored", t, func() {
		older, err := transcode[olderReport](fullReport(), byName)
		So(err, ShouldBeNil)
		So(older.Rates, ShouldResemble, fullReport().Rates)
		newer, err := transcode[newerReport](fullReport(), byName)
		So(err, ShouldBeNil)
		So(newer.Final, ShouldBeTrue)
		So(newer.Factor, ShouldEqual, 0)
	})
	Convey("By position, another number of fields is an error; layouts exist because of this", t, func() {
		_, err := transcode[olderReport](fullReport(), byPosition)
		So(err, ShouldNotBeNil)
		_, err = transcode[newerReport](fullReport(), byPosition)
		So(err, ShouldNotBeNil)
	})
	Convey("Floating-point values keep all bits that decisions use", t, func() {
		for _, value := range []float64{0, 1, -1, 0.1, 1 - 1e-16, 1e300, -1e300, math.MaxInt64, math.Inf(1), math.Inf(-1), math.SmallestNonzeroFloat64} {
			got, err := transcode[sample](sample{Weight: value}, byPosition)
			So(err, ShouldBeNil)
			So(got.Weight, ShouldEqual, value)
		}
		got, err := transcode[sample](sample{Weight: math.NaN()}, byPosition)
		So(err, ShouldBeNil)
		So(math.IsNaN(got.Weight), ShouldBeTrue)
	})
	Convey("Zero durations, numbers, empty maps and lists take one byte each", t, func() {
		payload, err := encode(report{Rates: map[string]sample{}, Hosts: []netip.Addr{}}, byPosition)
		So(err, ShouldBeNil)
		zeroTime, err := encode(time.Time{}, byPosition)
		So(err, ShouldBeNil)
		noAddress, err := encode(netip.AddrPort{}, byPosition)
		So(err, ShouldBeNil)
		So(len(payload), ShouldEqual, 1+len(noAddress)+4+len(zeroTime))
	})
}

func TestLayoutsDiffer(t *testing.T) {
	// If a changed type kept its layout, its messages would still go by position, and the other side would reject them or take a value
	// for another field.
	type renamed struct {
		Number int64   `msgpack:"count"`
		Weight float64 `msgpack:"weight"`
	}
	type reordered struct {
		Weight float64 `msgpack:"weight"`
		Count  int64   `msgpack:"count"`
	}
	type retyped struct {
		Count  int32   `msgpack:"count"`
		Weight float64 `msgpack:"weight"`
	}
	type unsent struct {
		Count  int64   `msgpack:"count"`
		Weight float64 `msgpack:"-"`
	}
	type same struct {
		Count  int64   `msgpack:"count"`
		Weight float64 `msgpack:"weight"`
	}
	Convey("Each change of a type changes its layout", t, func() {
		all := map[uint64]bool{}
		layoutsOf := []uint64{
			layoutOf[report](), layoutOf[newerReport](), layoutOf[olderReport](), layoutOf[deeperReport](), layoutOf[sample](), layoutOf[renamed](),
			layoutOf[reordered](), layoutOf[retyped](), layoutOf[unsent](), layoutOf[[]sample](), layoutOf[map[string]sample](),
		}
		for _, layout := range layoutsOf {
			So(layout, ShouldNotEqual, 0)
			all[layout] = true
		}
		So(len(all), ShouldEqual, len(layoutsOf))
	})
	Convey("Equal fields have equal layouts", t, func() { So(layoutOf[same](), ShouldEqual, layoutOf[sample]()) })
}

// isByPosition reports whether the payload of a struct is a list.
func isByPosition(payload []byte) bool { return payload[0]&0xf0 == 0x90 }

// startReportNodes starts two nodes; the server responds with what it receives. Messages of the server have the type T. It also records
// whether the last request came by position.
func startReportNodes[T any](t *testing.T, serverOpts ...Option) (client *Node, server netip.AddrPort, byPositions func() bool) {
	server = loopback.Address()
	s := New(server, append([]Option{withLongTimeouts}, serverOpts...)...)
	Handle(s, KindCall, func(_ context.Context, _ netip.AddrPort, m T) T { return m })
	handle := s.handlers[KindCall]
	last := make(chan bool, 1)
	s.handlers[KindCall] = func(ctx context.Context, l *link, f frame) (frame, error) {
		last <- isByPosition(f.payload)
		return handle(ctx, l, f)
	}
	client = New(loopback.Address(), withLongTimeouts)
	Handle(client, KindCall, func(_ context.Context, _ netip.AddrPort, m report) report { return m })
	for _, n := range []*Node{s, client} {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Stop)
	}
	return client, server, func() bool { return <-last }
}

// exchangeUntilAnnounced sends reports until the server's layouts have arrived, and returns the last response.
func exchangeUntilAnnounced(t *testing.T, client *Node, server netip.AddrPort, byPositions func() bool) report {
	_, err := Call[report, report](t.Context(), client, server, KindCall, fullReport())
	So(err, ShouldBeNil)
	byPositions()
	announced := func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return client.links[linkKeyOf(server, KindCall)].announced.Load() != nil
	}
	So(eventually(announced), ShouldBeTrue)
	got, err := Call[report, report](t.Context(), client, server, KindCall, fullReport())
	So(err, ShouldBeNil)
	return got
}

func TestNodesOfTwoReleases(t *testing.T) {
	// Two releases run side by side during an upgrade. If a daemon sent by position to one whose type has another number of fields, the
	// other side would close the connection, and each heartbeat or request between the releases would be lost.
	Convey("Nodes with the same layouts exchange messages by position", t, func() {
		client, server, byPositions := startReportNodes[report](t)
		fullReport().equals(exchangeUntilAnnounced(t, client, server, byPositions))
		So(byPositions(), ShouldBeTrue)
	})
	Convey("Messages to a node whose type has a further field go by name", t, func() {
		client, server, byPositions := startReportNodes[newerReport](t)
		fullReport().equals(exchangeUntilAnnounced(t, client, server, byPositions))
		So(byPositions(), ShouldBeFalse)
	})
	Convey("Messages to a node whose type has fewer fields go by name", t, func() {
		client, server, byPositions := startReportNodes[olderReport](t)
		got := exchangeUntilAnnounced(t, client, server, byPositions)
		So(got.Rates, ShouldResemble, fullReport().Rates)
		So(got.Final, ShouldBeFalse)
		So(byPositions(), ShouldBeFalse)
	})
	Convey("Messages to a node that announces nothing go by name, in both directions", t, func() {
		client, server, byPositions := startReportNodes[report](t, WithoutPositions())
		for range 3 {
			got, err := Call[report, report](t.Context(), client, server, KindCall, fullReport())
			So(err, ShouldBeNil)
			fullReport().equals(got)
			So(byPositions(), ShouldBeFalse)
		}
	})
}

func TestUnknownMessagesAreIgnored(t *testing.T) {
	// A later release announces something in a form that this one doesn't know, as this release does to earlier ones. If that closed the
	// connection, daemons of the two releases could not talk to each other.
	client, server := startPair(t, echo)
	Convey("A one-way message of an unknown kind, or unreadable layouts, don't end the connection", t, func() {
		So(Send(client, server, Kind(200), message{"x"}), ShouldBeNil)
		So(Send(client, server, KindLayouts, message{"x"}), ShouldBeNil)
		reply, err := Call[message, message](t.Context(), client, server, KindCall, message{"x"})
		So(err, ShouldBeNil)
		So(reply.Text, ShouldEqual, "x")
		So(client.Connections(), ShouldBeLessThanOrEqualTo, 2)
	})
}
