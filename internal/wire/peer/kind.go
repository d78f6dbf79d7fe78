package peer

//go:generate stringer -type=Kind -linecomment

// Kind names the handler that a message is for.
type Kind uint8

const (
	// KindCall hands a request on to the daemon beside the chosen upstream.
	KindCall Kind = iota + 1 // call
	// KindDigest tells the versions of the lists that a daemon knows.
	KindDigest // digest
	// KindFetch asks for list values.
	KindFetch // fetch
	// KindLease asks a home for tokens of an organisation's rate.
	KindLease // lease
	// KindHandover passes rate units on to their next home.
	KindHandover // handover
	// KindConfirm asks a peer what it knows of membership.
	KindConfirm // confirm
	// KindRecall asks where an idempotency key was run.
	KindRecall // recall
	// KindOnce hands a request on to the holder of its idempotency key.
	KindOnce // once
	// KindLegacy passes a leaving daemon's idempotency keys on.
	KindLegacy // legacy
	// KindRun hands a request on to the daemon beside an instance.
	KindRun // run
	// KindBeat tells a collector what a daemon sees and knows.
	KindBeat // beat
	// KindChanges asks for changes of what is published.
	KindChanges // changes
	// KindProbe asks for a sign of life.
	KindProbe // probe
)

// Kinds is one more than the last kind; kind 0 is of no message.
const Kinds = int(KindProbe) + 1
