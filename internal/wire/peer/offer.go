package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// Bulky is implemented by messages whose body may be large. A large body is sent as it is, behind the encoded rest of the message, and the memory that
// is held for it goes along with it.
type Bulky interface {
	// Bulk returns where the message has its body and the memory that is held for it.
	Bulk() (body *[]byte, hold **bounded.Hold)
}

// ErrNoRoom is an ErrNotSent: the receiver had no memory for the message in the time that a sender waits for it.
var ErrNoRoom = errors.WithMessage(ErrNotSent, "peer: no room for the message")

// WithAccount sets the account of the memory that messages take.
func WithAccount(a *bounded.Account) Option { return func(n *Node) { n.account = a } }

// WithoutOffers sends large messages without an offer, and answers none, like nodes of earlier releases.
func WithoutOffers() Option {
	return func(n *Node) { n.withoutOffers = true }
}

const (
	// defaultMemory is the memory of a process whose node has no account of its own.
	defaultMemory = 1 << 30
	// maxDirectBacklog is how many bytes may wait outside the kernel before small frames are offered too: a peer that has stopped reading must not
	// collect them here.
	maxDirectBacklog = 512 << 10
	// announcementWait bounds the wait for the other side's announcement before a large message is sent the way earlier releases read.
	announcementWait = 500 * time.Millisecond
	// roomWaitDivisor leaves the rest of a request's time for another receiver, or for telling the caller.
	roomWaitDivisor = 2
	// defaultRoomWait bounds the wait for room of a message without a deadline.
	defaultRoomWait = 5 * time.Second
	// offerVersion stands in the announcement of a node that answers offers.
	offerVersion = 1
)

// purposeOf returns what memory for a received frame is held for.
func purposeOf(k Kind, f form) bounded.Purpose {
	switch {
	case !isForwarding(k):
		return bounded.FleetMessage
	case f == formResponse:
		return bounded.CallerResponse
	default:
		return bounded.PeerRequest
	}
}

// isForwarding reports whether messages of the kind carry requests.
func isForwarding(k Kind) bool { return k == KindCall || k == KindRunOnce || k == KindRun }

// answersOffers reports whether large frames are to be offered to the other side.
func (l *link) answersOffers() bool { return l.offers.Load() && !l.node.withoutOffers }

// awaitAnnouncement waits a while for the other side's announcement, without which a large message can't be offered to it.
func (l *link) awaitAnnouncement(ctx context.Context) {
	if l.node.withoutOffers {
		return
	}
	timer := time.NewTimer(announcementWait)
	defer timer.Stop()
	select {
	case <-l.announcementArrived:
	case <-l.closed:
	case <-ctx.Done():
	case <-timer.C:
		// The other side is of an earlier release: no later message waits.
		l.markAnnounced()
	}
}

func (l *link) markAnnounced() { l.announcementOnce.Do(func() { close(l.announcementArrived) }) }

// sendOffer offers a frame to the other side.
func (l *link) sendOffer(f frame) (sendPosition, error) {
	if f.hold == nil && !isForwarding(f.kind) {
		f.hold = l.node.account.Take(bounded.FleetMessage, netip.Addr{}, int64(f.size()))
	}
	o := newOutgoing(f, true)
	if !l.outbox.addOffer(o) {
		f.hold.Release()
		return sendPosition{}, ErrNoRoom
	}
	// From here on o.frame is the outbox's, which clears it when the connection is closed.
	if _, err := l.write(f.appendOffer(nil, o.stream), nil); err != nil {
		l.outbox.withdraw(o)
		return sendPosition{}, err
	}
	return sendPosition{outgoing: o}, nil
}

// receiveOffer asks for memory for an offered frame, and grants the offer when there is some. A response that nobody waits for any more is refused.
func (l *link) receiveOffer(o offer) {
	purpose, account := purposeOf(o.frame.kind, o.frame.form), l.node.account
	unwanted := o.frame.form == formResponse && !l.isPending(o.frame.id)
	if unwanted || l.node.withoutOffers || !account.CanHold(purpose, int64(o.size)) {
		l.reader.assembler.drop(o.stream)
		l.answerOffer(formRefuse, o)
		return
	}
	waiter := account.Request(purpose, netip.Addr{}, int64(o.size), func(h *bounded.Hold) {
		if !l.reader.assembler.grant(o.stream, o.size, h) {
			h.Release()
			return
		}
		l.answerOffer(formGrant, o)
	})
	l.reader.assembler.await(o.stream, waiter)
}

func (l *link) answerOffer(f form, o offer) {
	answer := frame{form: f, kind: o.frame.kind, id: o.stream}
	_, _ = l.write(answer.encode(), nil)
}

// withdrawOffer gives an offered frame up if it has not been granted yet, and reports whether it did.
func (l *link) withdrawOffer(o *outgoing) bool {
	if o == nil || !l.outbox.withdraw(o) {
		return false
	}
	l.sendDrop(o)
	return true
}

func (l *link) isPending(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.pendingCalls[id]
	return ok
}

// roomWait returns how long a sender waits for room at the receiver.
func roomWait(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return max(time.Until(deadline)/roomWaitDivisor, 0)
	}
	return defaultRoomWait
}

// writtenHolds is what is held for frames until the kernel has them, in the order of the stream.
type writtenHolds struct {
	mu      sync.Mutex
	waiting []writtenHold
	// writtenBytes is where the kernel's part of the stream ends, closed that no more comes.
	writtenBytes uint64
	closed       bool
}

type writtenHold struct {
	endOffset uint64
	hold      *bounded.Hold
}

// releaseWhenWritten releases a hold once the kernel has the stream up to the offset, or the connection is closed.
func (l *link) releaseWhenWritten(endOffset uint64, hold *bounded.Hold) {
	if hold != nil {
		l.written.add(writtenHold{endOffset, hold}, l.writtenBytes.Load())
	}
}

func (w *writtenHolds) add(h writtenHold, writtenBytes uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writtenBytes = max(w.writtenBytes, writtenBytes)
	if w.closed || h.endOffset <= w.writtenBytes {
		h.hold.Release()
		return
	}
	w.waiting = append(w.waiting, h)
}

// release releases what is held for frames that end at the offset or before.
func (w *writtenHolds) release(writtenBytes uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writtenBytes = max(w.writtenBytes, writtenBytes)
	kept := w.waiting[:0]
	for _, h := range w.waiting {
		if h.endOffset > w.writtenBytes {
			kept = append(kept, h)
			continue
		}
		h.hold.Release()
	}
	clear(w.waiting[len(kept):])
	w.waiting = kept
}

// close releases everything, now and later.
func (w *writtenHolds) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, h := range w.waiting {
		h.hold.Release()
	}
	w.waiting = nil
}
