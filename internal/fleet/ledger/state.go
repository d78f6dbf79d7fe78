package ledger

//go:generate stringer -type=State -linecomment
//go:generate stringer -type=Claim -linecomment

// State is what a daemon knows about a key.
type State uint8

const (
	// Absent means that the daemon has no record of the key.
	Absent State = iota // absent
	// Running means that its request is running, or that its holder is recalling the key.
	Running // running
	// Finished means that its request got a whole response.
	Finished // finished
	// Lost means that its request may have run, without a whole response.
	Lost // lost
	// Transferred means that another daemon recalled the key and may run its request.
	Transferred // moved
)

// Claim says how a request with a key must proceed.
type Claim uint8

const (
	// Begun means that the request has claimed the key and must release or finish it.
	Begun Claim = iota // begun
	// Joined means that a request with this key is running; the caller waits for its end.
	Joined // joined
	// Answered means that a request with this key has its response recorded.
	Answered // answered
	// Doubtful means that a request with this key may have run, and its response is not recorded.
	Doubtful // doubtful
	// Mismatched means that another request with a different fingerprint used the key.
	Mismatched // mismatched
	// Full means that there is no capacity for a new key.
	Full // crowded
)
