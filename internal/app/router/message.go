package router

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

var (
	_ peer.Bulky = (*runRequest)(nil)
	_ peer.Bulky = (*runResult)(nil)
)

// runRequest hands a request to the daemon on the chosen instance's host.
type runRequest struct {
	RequestID string              `msgpack:"requestId"`
	Instance  routing.Incarnation `msgpack:"instance"`
	Route     string              `msgpack:"route"`
	// Root is the route of the caller's request that this request is made for.
	Root          string        `msgpack:"root"`
	CallerService string        `msgpack:"callerService"`
	Organisation  string        `msgpack:"organisation"`
	Method        string        `msgpack:"method"`
	Target        string        `msgpack:"target"`
	HTTPHost      string        `msgpack:"httpHost"`
	Header        headerFields  `msgpack:"header"`
	Body          []byte        `msgpack:"body"`
	Remaining     time.Duration `msgpack:"remaining"`
	// Priority is that of the caller's request.
	Priority   call.Priority `msgpack:"priority"`
	Idempotent bool          `msgpack:"idempotent"`
	// Subcall means that an instance makes the request while it runs another.
	Subcall bool `msgpack:"nested"`
	// Retry means that the request was sent to an instance before, or is a sub-call of a retry.
	Retry bool `msgpack:"repeat"`
	// RateLimit is the instance's, as the sender was told.
	RateLimit RateLimit `msgpack:"rateLimit"`
	// Redirectable means that the request hasn't been redirected yet and that the sender has another instance for it.
	Redirectable bool `msgpack:"redirectable,omitempty"`
	// FinishIn is the time in which the run must have ended, since the sender shuts down; 0 if it doesn't.
	FinishIn time.Duration `msgpack:"finishIn,omitempty"`
	// Exclusive means that the sender sends requests with this content to this instance only, since instances have crashed under it.
	Exclusive bool `msgpack:"exclusive,omitempty"`
	// hold is the memory that is held for the body of a request that was handed over.
	hold *bounded.Hold
	// receiver is the host that the response goes to, invalid for this one.
	receiver netip.Addr
	// finishBy is when the run must have ended, if the sender says so later; nil for a request that wasn't handed over.
	finishBy *statedEnd
	// inspection is what is known of the request's content, locked its fingerprint while no other request with it may run here.
	inspection inspection
	locked     quarantine.Fingerprint
}

// Bulk returns the body and the memory that is held for it.
func (req *runRequest) Bulk() (*[]byte, **bounded.Hold) { return &req.Body, &req.hold }

// Age subtracts the time that has passed on the way from the times that are left.
func (req *runRequest) Age(elapsed time.Duration) {
	req.Remaining -= elapsed
	if req.FinishIn > 0 {
		req.FinishIn = max(req.FinishIn-elapsed, minFinishIn)
	}
}

// runResult is the reply to a runRequest.
type runResult struct {
	Outcome    call.Outcome  `msgpack:"outcome"`
	Reason     call.Reason   `msgpack:"reason"`
	Status     int           `msgpack:"status"`
	Header     headerFields  `msgpack:"header"`
	Body       []byte        `msgpack:"body"`
	RetryAfter time.Duration `msgpack:"retryAfter"`
	Load       call.Load     `msgpack:"load"`
	// Arrived means that the request reached the instance, whether or not it ran.
	Arrived bool `msgpack:"arrived"`
	// Saturation is the highest saturation of a service on the request's way; see demand.Service.
	Saturation float64 `msgpack:"fullness"`
	// SubcallRefused means that a sub-call of the request was refused because of a saturated service.
	SubcallRefused bool `msgpack:"callRefused"`
	// SubcallFailed means that a sub-call of the request failed.
	SubcallFailed bool `msgpack:"callFailed"`
	// Waited is how long the request waited for a slot.
	Waited time.Duration `msgpack:"waited"`
	// RateLimit is what the instance states.
	RateLimit RateLimit `msgpack:"rateLimit"`
	// InstanceLeaving means that the instance is about to end.
	InstanceLeaving bool `msgpack:"instanceLeaving"`
	// EndedEarly means that the instance was given less time than the request has, since the daemon beside it shuts down, and that this was too little.
	EndedEarly bool `msgpack:"endedEarly,omitempty"`
	// Crashed means that the instance crashed under the request.
	Crashed bool `msgpack:"crashed,omitempty"`
	// Suspect is the fingerprint of content that runs on one instance at a time, which the sender chooses by it; 0 if it may run anywhere.
	Suspect quarantine.Fingerprint `msgpack:"suspect,omitempty"`
	// hold is the memory that is held for the body.
	hold *bounded.Hold
}

// Bulk returns the body and the memory that is held for it.
func (res *runResult) Bulk() (*[]byte, **bounded.Hold) { return &res.Body, &res.hold }

// redirects reports whether the result sends the request to another instance: the instance is slow, and nothing of the request has reached it.
func (res *runResult) redirects() bool {
	return res.Outcome == call.NotRun && res.Reason == call.InstanceSlow && !res.Arrived
}

// answer returns the response that the result stands for. The status of a response that isn't an instance's follows from its reason.
func (res *runResult) answer() call.Answer {
	switch res.Outcome {
	case call.Whole:
		return call.Answer{Outcome: call.Whole, Status: res.Status, Header: removeConnectionHeaders(http.Header(res.Header)), Body: res.Body}
	case call.NotRun:
		return call.Refuse(res.Reason, res.RetryAfter)
	case call.Unknown:
		return call.UnknownOutcome(lostReason(res.Reason))
	default:
		return call.Answer{}
	}
}

// lostReason returns the reason of an unknown outcome. A daemon that decided nothing gives none.
func lostReason(stated call.Reason) call.Reason {
	if stated == call.None {
		return call.AnswerLost
	}
	return stated
}

// lose makes the result a lost response; the instance may have run the request.
func (res *runResult) lose(reason call.Reason) {
	lost := call.UnknownOutcome(reason)
	res.Outcome, res.Reason, res.Status, res.Header, res.Body, res.Arrived = lost.Outcome, lost.Reason, lost.Status, nil, nil, true
}

// fetchRequest asks another daemon for everything newer than the given version and revision.
type fetchRequest struct {
	Version  uint64 `msgpack:"version"`
	Revision uint64 `msgpack:"revision"`
	// Purpose is why the sender asks.
	Purpose fetchPurpose `msgpack:"purpose,omitempty"`
}

// fetchReply is the reply to a fetchRequest.
type fetchReply struct {
	Changes catalog.Changes `msgpack:"changes"`
	// Whole means that the daemon has a configuration and instances.
	Whole bool `msgpack:"whole"`
	// StoreAge is the age of the newer of two snapshots of the configuration store: the daemon's own and its collector's.
	StoreAge time.Duration `msgpack:"storeAge"`
	// Busy means that the daemon has sent as many copies as its link allows; it announces to the fleet that it has one.
	Busy bool `msgpack:"busy,omitempty"`
	// Daemons is the number of daemons that the daemon knows of.
	Daemons int `msgpack:"daemons,omitempty"`
}

// confirmation is the reply to an announcement.
type confirmation struct{}
