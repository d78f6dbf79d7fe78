package ledger

//go:generate stringer -type=State -linecomment
//go:generate stringer -type=Claim -linecomment

// State is what a daemon knows of a key.
type State uint8

const (
	// Absent means that the daemon knows nothing of the key.
	Absent State = iota // absent
	// Running means that its request is at work, or that its holder is asking the others.
	Running // running
	// Finished means that its request was answered whole.
	Finished // finished
	// Lost means that its request may have run, and no whole answer came back.
	Lost // lost
	// Moved means that another daemon asked for the key and may run it.
	Moved // moved
)

// Claim tells what a request with a key is to do.
type Claim uint8

const (
	// Begun means that the request has the key and must release or finish it.
	Begun Claim = iota // begun
	// Joined means that a request with this key is at work.
	Joined // joined
	// Answered means that a request with this key was answered.
	Answered // answered
	// Doubtful means that a request with this key may have run.
	Doubtful // doubtful
	// Mismatched means that the key was given to another request.
	Mismatched // mismatched
	// Full means that no more keys can be remembered now.
	Full // crowded
)
