package explain

import (
	"strings"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

var wholeOutcome = call.Whole.String()

// Advice explains a reason and says what the caller and the operator can do.
type Advice struct {
	Reason call.Reason
	// Meaning is one sentence on what was decided and why.
	Meaning string
	// Caller is what the caller should do next.
	Caller string
	// Operator is what the operator should check.
	Operator string
}

// AdviceFor returns the advice on the reason with the given name, or false.
func AdviceFor(reason string) (Advice, bool) {
	for r, advice := range adviceByReason {
		if r.String() == reason {
			advice.Reason = r
			return advice, true
		}
	}
	return Advice{}, false
}

// Reasons returns every reason that a daemon can give, in the order of their numbers.
func Reasons() []call.Reason {
	var all []call.Reason
	for r := call.None; !strings.HasPrefix(r.String(), "Reason("); r++ {
		all = append(all, r)
	}
	return all
}

var adviceByReason = map[call.Reason]Advice{
	call.None: {
		Meaning:  "The upstream's complete answer was passed on.",
		Caller:   "Use the answer; its status is the upstream's.",
		Operator: "Nothing.",
	},
	call.BadRequest: {
		Meaning:  "The request could not be understood.",
		Caller:   "Mend the request; it fails the same way each time.",
		Operator: "Nothing, unless one organisation sends many.",
	},
	call.UnknownKey: {
		Meaning:  "The organisation key is missing, wrong or withdrawn, or the token of an upstream's sub-call is wrong or belongs to a run that has ended.",
		Caller:   "Ask the operator for a key; don't retry.",
		Operator: "Compare the keys list with what the organisation sends; `foxctl check` finds keys without an organisation.",
	},
	call.UnknownOperation: {
		Meaning:  "No listed operation has this service, method and path.",
		Caller:   "Check method and path; don't retry.",
		Operator: "Add the operation to uses if it should exist.",
	},
	call.NotAllowed: {
		Meaning:  "The organisation's plan may not use the operation.",
		Caller:   "Don't retry.",
		Operator: "Grant the operation to the plan in uses if it should be allowed.",
	},
	call.OverRate: {
		Meaning:  "The organisation has spent its rate and burst over the whole fleet.",
		Caller:   "Come back after Retry-After, and send at an even pace.",
		Operator: "Raise rate or burst in plans if the organisation should have more.",
	},
	call.Overloaded: {
		Meaning:  "The upstream had no free slot for the request in time: requests with a higher priority, or of organisations that were using less than their share, took precedence.",
		Caller:   "Come back after Retry-After.",
		Operator: "Look at the service's latency and in-flight requests; add instances if it lasts.",
	},
	call.NoUpstream: {
		Meaning:  "No live instance of the service could be reached.",
		Caller:   "Come back after Retry-After.",
		Operator: "Look at the hosts list and at the daemons of the service.",
	},
	call.DeadlineTooNear: {
		Meaning:  "The request could not have finished before its deadline, so it wasn't begun.",
		Caller:   "Retry with a longer timeout.",
		Operator: "Compare the callers' timeouts with the service's latency.",
	},
	call.TooLarge: {
		Meaning:  "The body or the head is larger than the daemon takes.",
		Caller:   "Send less; don't retry unchanged.",
		Operator: "Raise -body-bound if such bodies are meant to pass.",
	},
	call.Draining: {
		Meaning:  "The host is leaving and takes no new work.",
		Caller:   "Come back after Retry-After, at any daemon.",
		Operator: "Expected during a restart; the host should leave the hosts list.",
	},
	call.NotReady: {
		Meaning:  "The daemon has just started, was paused or is partitioned from the others, and its lists are not confirmed as current.",
		Caller:   "Come back after Retry-After, at any daemon.",
		Operator: "If it lasts, look at the standing that `foxctl status` shows, and at what the daemon can reach.",
	},
	call.BudgetSpent: {
		Meaning:  "The call chain has used up the upstream runs that the operation allows.",
		Caller:   "Don't repeat at once: the chain below is failing.",
		Operator: "Find the failing service deeper in the chain; raise runs in uses only if the chain really needs more.",
	},
	call.Repeated: {
		Meaning:  "A request with this idempotency key came before, and its outcome can't be given again.",
		Caller:   "Find out what became of the first; don't send it under a new key before.",
		Operator: "Nothing.",
	},
	call.UpstreamShed: {
		Meaning:  "The upstream itself said that it did not run the request.",
		Caller:   "Come back after Retry-After.",
		Operator: "Compare -slots with what the upstream really runs at once.",
	},
	call.AnswerLost: {
		Meaning:  "The request was sent on and no whole answer came back, so it may have run.",
		Caller:   "Repeat only an idempotent request, or one with an idempotency key.",
		Operator: "Look for a crash, a restart or a network partition between the hosts at that time.",
	},
	call.Cancelled: {
		Meaning:  "The caller hung up while the request was on its way, so it may have run.",
		Caller:   "Wait at least as long as the timeout that was named.",
		Operator: "Nothing, unless callers hang up in numbers: then they wait shorter than they say.",
	},
	call.Undecided: {
		Meaning:  "Hosts that may know of the idempotency key can't be reached now. This attempt was not run; an earlier one with the key may have been.",
		Caller:   "Come back after Retry-After with the same key; don't send it under a new one.",
		Operator: "Look at `suspects` and the network of the service's daemons; it ends once most of them reach each other.",
	},
	call.ZoneDrained: {
		Meaning:  "All instances of the service are in availability zones that the operator has drained.",
		Caller:   "Come back after Retry-After.",
		Operator: "Restore a zone in which the service has instances; `zone drained` in the log says since when none is left.",
	},
	call.NoAllowedRegion: {
		Meaning:  "No instance of the service is in a region in which the route and the organisation allow the request to run.",
		Caller:   "Come back after Retry-After.",
		Operator: "Start instances in an allowed region, restore its zones, or allow another region in the configuration.",
	},
	call.WarmingUp: {
		Meaning:  "The upstream has just started and may receive only a few requests a second; those with a higher priority took precedence.",
		Caller:   "Come back after Retry-After.",
		Operator: "Expected for some seconds after a start. If it lasts, look for instances that crash again and again (`instance suspected` in the log).",
	},
	call.UpstreamLimited: {
		Meaning:  "The upstream's responses state how many requests a second it takes, and more arrived; those with a higher priority took precedence.",
		Caller:   "Come back after Retry-After.",
		Operator: "Find out why the upstream limits itself; `instance limit` in the log of the daemon beside it says since when. Add instances if all of the service do.",
	},
	call.InstanceSlow: {
		Meaning:  "The instance is slow now, as its responses state, and no other one could be sent the request in time.",
		Caller:   "Come back after Retry-After.",
		Operator: "Rare: the request goes to another instance by itself. `offers` in the log line has the instances that were tried.",
	},
	call.WouldOutlast: {
		Meaning:  "A daemon that the request was sent to, or the one beside the instance, is shutting down, and the request is likely to run longer than it will be there.",
		Caller:   "Come back after Retry-After; by then requests go to another host.",
		Operator: "Expected while hosts are restarted, of routes that take seconds. `leaving` in the log has the time that requests have left; a longer grace serves more of them.",
	},
	call.Quarantined: {
		Meaning:  "Three instances or more have crashed while they ran requests with this content: organisation, route, method, host, target and body. It is not run for as long as Retry-After says, and then tried once.",
		Caller:   "Don't repeat it unchanged; other requests are served as usual.",
		Operator: "`content quarantined` and `instance crashed` in the logs have the content's keyed hash and the ids of the requests. Mend the instances; `-without quarantine` turns it off on a daemon.",
	},
	call.Suspected: {
		Meaning:  "Two instances have crashed while they ran requests with this content, so that it runs on one instance at a time, and that one could not take it in time.",
		Caller:   "Come back after Retry-After.",
		Operator: "`instance crashed` in the logs names the requests that were at work. One that runs to its end clears the content.",
	},
	call.NoRoom: {
		Meaning:  "A daemon on the request's way had no memory for its body in time, since other large bodies took it.",
		Caller:   "Come back after Retry-After; send large bodies one after the other.",
		Operator: "`memory short` in the logs has the purpose, `memory_held` the bytes. docs/CAPACITY.md says what a daemon holds.",
	},
	call.TimedOut: {
		Meaning:  "The time that the caller or the operator allows ran out while the request was at work, so it may have run.",
		Caller:   "Repeat only an idempotent request, or one with an idempotency key.",
		Operator: "Compare the route's timeout with the service's latency; `offers` in the log line has the instance, its wait and its load.",
	},
}
