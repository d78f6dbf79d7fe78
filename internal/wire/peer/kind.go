package peer

//go:generate stringer -type=Kind -linecomment

// Kind is the type of a message and selects its handler.
type Kind uint8

const (
	// KindCall forwards a request to the daemon on the chosen upstream's host.
	KindCall Kind = iota + 1 // call
	// KindDigest states the versions of the lists that a daemon knows.
	KindDigest // digest
	// KindFetch asks for list values.
	KindFetch // fetch
	// KindLease asks the home of a rate shard for tokens of an organisation's rate.
	KindLease // lease
	// KindHandover transfers rate shards to their next home.
	KindHandover // handover
	// KindConfirm asks a peer for its view of the membership.
	KindConfirm // confirm
	// KindRecall asks where an idempotency key was run.
	KindRecall // recall
	// KindRunOnce forwards a request to the daemon that holds its idempotency key.
	KindRunOnce // once
	// KindKeyTransfer transfers the idempotency keys of a leaving daemon.
	KindKeyTransfer // legacy
	// KindRun forwards a request to the daemon on the host of an instance.
	KindRun // run
	// KindHeartbeat is a daemon's heartbeat with its report to a collector.
	KindHeartbeat // beat
	// KindChanges asks for changes to what is published.
	KindChanges // changes
	// KindProbe asks for an immediate, empty response.
	KindProbe // probe
	// KindLayouts announces the layouts of the messages that a node handles.
	KindLayouts // layouts
	// KindAnnouncement announces that a daemon has what is published.
	KindAnnouncement // announcement
	// KindFinishBound states when the runs for a daemon that is shutting down must have ended.
	KindFinishBound // finishBound
	// KindCrash reports the crash of an instance with what was at work there.
	KindCrash // crash
	// KindQuarantine asks for the crashes that a daemon knows of.
	KindQuarantine // quarantine
	// KindOffer stands in the announcement of a node that answers offers of large messages.
	KindOffer // offer
)

// Kinds is the last kind plus one; no message has kind 0.
const Kinds = int(KindOffer) + 1
