package peer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// bulk is a message with a body that may be large.
type bulk struct {
	Name string `msgpack:"name"`
	Body []byte `msgpack:"body"`
	hold *bounded.Hold
}

func (b *bulk) Bulk() (*[]byte, **bounded.Hold) { return &b.Body, &b.hold }

const bulkBytes = 2 << 20

// bulkLimits have room for one message of bulkBytes for each purpose, and for two together.
var bulkLimits = bounded.Limits{Total: 5 << 20, Each: 3 << 20, Small: 1 << 20}

// body returns a body whose bytes tell its number and their place.
func body(number, size int) []byte {
	raw := make([]byte, size)
	for i := range raw {
		raw[i] = byte(number + i*7 + i>>8)
	}
	return raw
}

// startBulkServer starts a node with an account of its own that answers with respond.
func startBulkServer(t *testing.T, respond func(ctx context.Context, from netip.AddrPort, b bulk) bulk, opts ...Option) (netip.AddrPort, *bounded.Account) {
	address, account := loopback.Address(), bounded.NewAccount(bulkLimits)
	n := New(address, append([]Option{withLongTimeouts, WithAccount(account)}, opts...)...)
	Handle(n, KindRun, respond)
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return address, account
}

func startBulkClient(t *testing.T, opts ...Option) (*Node, *bounded.Account) {
	account := bounded.NewAccount(bulkLimits)
	n := New(loopback.Address(), append([]Option{withLongTimeouts, WithAccount(account)}, opts...)...)
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n, account
}

// isReleased reports whether nothing is held any more.
func isReleased(a *bounded.Account) bool {
	return eventually(func() bool { return a.Held() == 0 })
}

// TestLargeRequestsOfManySenders guards against a daemon that takes a large request from each of its peers at once and goes beyond its memory: each link
// was bounded, all links together weren't.
func TestLargeRequestsOfManySenders(t *testing.T) {
	const senders = 8
	var most atomic.Int64
	var account *bounded.Account
	server, account := startBulkServer(t, func(_ context.Context, _ netip.AddrPort, b bulk) bulk {
		for held := account.Held(); ; {
			before := most.Load()
			if held <= before || most.CompareAndSwap(before, held) {
				break
			}
		}
		time.Sleep(5 * time.Millisecond)
		return bulk{Name: b.Name, Body: b.Body[:10]}
	})
	Convey("They are served one after the other, each with its own body", t, func() {
		var sending sync.WaitGroup
		var served atomic.Int64
		for i := range senders {
			client, _ := startBulkClient(t)
			sending.Go(func() {
				request := body(i, bulkBytes)
				reply, err := Call[bulk, bulk](t.Context(), client, server, KindRun, bulk{Body: request})
				if err == nil && string(reply.Body) == string(request[:10]) {
					served.Add(1)
				}
			})
		}
		sending.Wait()
		So(served.Load(), ShouldEqual, senders)
		So(most.Load(), ShouldBeBetween, bulkBytes, bulkLimits.Total+1)
		So(account.Usage(bounded.PeerRequest).Waits, ShouldBeGreaterThan, 0)
		So(isReleased(account), ShouldBeTrue)
	})
}

// TestNoRoomForRequest guards against a request that waits for memory until its deadline and leaves its caller without a true answer, and against bytes
// that are sent before there is memory for them.
func TestNoRoomForRequest(t *testing.T) {
	server, account := startBulkServer(t, func(_ context.Context, _ netip.AddrPort, b bulk) bulk { return bulk{Name: "ran"} })
	client, _ := startBulkClient(t)
	taken := account.Take(bounded.PeerRequest, netip.Addr{}, bulkLimits.Each)
	Convey("It is not sent, and a small one is served meanwhile", t, func() {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		_, err := Call[bulk, bulk](ctx, client, server, KindRun, bulk{Body: body(1, bulkBytes)})
		So(err, ShouldWrap, ErrNoRoom)
		So(err, ShouldWrap, ErrNotSent)
		So(ctx.Err(), ShouldBeNil)
		So(client.Traffic().Bytes.Sent, ShouldBeLessThan, pieceSize)
		reply, err := Call[bulk, bulk](t.Context(), client, server, KindRun, bulk{Body: body(1, 1000)})
		So(err, ShouldBeNil)
		So(reply.Name, ShouldEqual, "ran")
	})
	Convey("One that can never fit is refused at once", t, func() {
		_, err := Call[bulk, bulk](t.Context(), client, server, KindRun, bulk{Body: body(1, 4<<20)})
		So(err, ShouldWrap, ErrNoRoom)
	})
	Convey("It is sent once there is memory", t, func() {
		time.AfterFunc(50*time.Millisecond, taken.Release)
		reply, err := Call[bulk, bulk](t.Context(), client, server, KindRun, bulk{Body: body(1, bulkBytes)})
		So(err, ShouldBeNil)
		So(reply.Name, ShouldEqual, "ran")
		So(isReleased(account), ShouldBeTrue)
	})
}

// TestResponsesWaitForTheirReceiver guards against a daemon that collects responses for a peer without memory, or one that has stopped reading, beyond its
// own memory: what waits must stay counted until it is sent, and be released when the caller gives up.
func TestResponsesWaitForTheirReceiver(t *testing.T) {
	for _, size := range []int{bulkBytes, 40 << 10} {
		var account *bounded.Account
		server, account := startBulkServer(t, func(ctx context.Context, from netip.AddrPort, b bulk) bulk {
			hold, err := account.Await(ctx, bounded.InstanceResponse, from.Addr(), int64(size))
			if err != nil {
				return bulk{Name: "no memory"}
			}
			return bulk{Name: "response", Body: body(1, size), hold: hold}
		})
		client, own := startBulkClient(t)
		Convey("While the receiver has no memory, the sender holds its share, and counts it", t, func() {
			if size > pieceSize {
				taken := own.Take(bounded.CallerResponse, netip.Addr{}, bulkLimits.Each)
				ctx, cancel := context.WithCancel(t.Context())
				var calls sync.WaitGroup
				for range 5 {
					calls.Go(func() { _, _ = Call[bulk, bulk](ctx, client, server, KindRun, bulk{}) })
				}
				So(eventually(func() bool {
					return account.Held() == bulkBytes && account.Usage(bounded.InstanceResponse).Waiting == 4
				}), ShouldBeTrue)
				cancel()
				calls.Wait()
				So(isReleased(account), ShouldBeTrue)
				taken.Release()
			}
		})
		Convey("While the connection doesn't take anything, neither does more memory", t, func() {
			proxy := newPausingProxy(t, server, 0)
			ctx, cancel := context.WithCancel(t.Context())
			var calls sync.WaitGroup
			for range 300 {
				calls.Go(func() { _, _ = Call[bulk, bulk](ctx, client, proxy.address, KindRun, bulk{}) })
			}
			time.Sleep(100 * time.Millisecond)
			So(account.Held(), ShouldBeLessThanOrEqualTo, bulkLimits.Total+bulkLimits.Small)
			cancel()
			close(proxy.resumed)
			calls.Wait()
			client.DropLinks(proxy.address)
			So(isReleased(account), ShouldBeTrue)
			So(isReleased(own), ShouldBeTrue)
		})
	}
}

// TestOffersBesideEarlierReleases guards against a rolling restart in which daemons that know no offers and ones that do lose each other's bodies.
func TestOffersBesideEarlierReleases(t *testing.T) {
	for _, c := range []struct {
		name           string
		client, server []Option
	}{
		{"both offer", nil, nil},
		{"only the client does", nil, []Option{WithoutOffers()}},
		{"only the server does", []Option{WithoutOffers()}, nil},
		{"neither announces layouts", []Option{WithoutPositions()}, []Option{WithoutPositions()}},
		{"the server announces nothing", nil, []Option{WithoutPositions(), WithoutOffers()}},
	} {
		server, account := startBulkServer(t, func(_ context.Context, _ netip.AddrPort, b bulk) bulk { return bulk{Name: b.Name, Body: b.Body} }, c.server...)
		client, own := startBulkClient(t, c.client...)
		Convey("Bodies of all sizes arrive both ways when "+c.name, t, func() {
			for i, size := range []int{0, 1, 1000, pieceSize - 1, pieceSize, pieceSize + 1, 3*pieceSize + 7, bulkBytes} {
				request := bulk{Name: "name", Body: body(i, size)}
				reply, err := Call[bulk, bulk](t.Context(), client, server, KindRun, request)
				So(err, ShouldBeNil)
				So(reply.Name, ShouldEqual, "name")
				So(string(reply.Body) == string(request.Body), ShouldBeTrue)
				reply.hold.Release()
			}
			So(isReleased(account), ShouldBeTrue)
			So(isReleased(own), ShouldBeTrue)
		})
	}
}

// TestOffersOutOfBounds guards against a faulty peer that takes memory which it doesn't fill, or sends bytes without a grant.
func TestOffersOutOfBounds(t *testing.T) {
	one := frame{form: formRequest, kind: KindRun, id: 7, payload: make([]byte, 60)}
	piece := frame{form: formPiece, id: 1, payload: []byte("x")}
	long := frame{form: formOffer, kind: KindRun, id: 1, payload: make([]byte, offerSize+1)}
	cases := []struct {
		name   string
		stream []byte
		want   error
	}{
		{"a piece before the grant", piece.append(one.appendOffer(nil, 1)), errFrameForm},
		{"an offer of nothing", (&frame{form: formRequest}).appendOffer(nil, 1), errFrameSize},
		{"an offer above the maximum frame size", (&frame{form: formRequest, payload: make([]byte, 101)}).appendOffer(nil, 1), errFrameSize},
		{"a stream offered twice", append(one.appendOffer(nil, 1), one.appendOffer(nil, 1)...), errFrameForm},
		{"an offer of the wrong length", long.encode(), errFrameSize},
		{"an offer of an offer", (&frame{form: formOffer, payload: make([]byte, 60)}).appendOffer(nil, 1), errFrameForm},
	}
	Convey("The reader returns an error, which closes the connection", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				r := frameReader{maxFrame: 100, offered: func(offer) {}}
				So(r.feed(c.stream, func(frame) {}), ShouldWrap, c.want)
			})
		}
	})
	Convey("A connection that ends releases what its offers hold and wait for", t, func() {
		account := bounded.NewAccount(bulkLimits)
		r := frameReader{maxFrame: 8 << 20}
		r.offered = func(o offer) {
			r.assembler.await(o.stream, account.Request(bounded.PeerRequest, netip.Addr{}, int64(o.size), func(h *bounded.Hold) {
				if !r.assembler.grant(o.stream, o.size, h) {
					h.Release()
				}
			}))
		}
		for stream := range uint64(3) {
			So(r.feed((&frame{form: formRequest, payload: make([]byte, bulkBytes)}).appendOffer(nil, stream+1), func(frame) {}), ShouldBeNil)
		}
		So(account.Held(), ShouldEqual, bulkBytes)
		So(account.Usage(bounded.PeerRequest).Waiting, ShouldEqual, 2)
		r.assembler.close()
		So(isReleased(account), ShouldBeTrue)
		So(account.Usage(bounded.PeerRequest).Waiting, ShouldEqual, 0)
	})
}
