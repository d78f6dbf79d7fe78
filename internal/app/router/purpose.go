package router

//go:generate stringer -type=fetchPurpose -linecomment

// fetchPurpose is why a daemon asks another one for what it has.
type fetchPurpose uint8

const (
	// forChanges asks for what has changed.
	forChanges fetchPurpose = iota // changes
	// forStart asks for a complete copy that is current, since the daemon has just started. It may be told to wait.
	forStart // start
	// forAnnounced asks for what the other daemon has announced.
	forAnnounced // announced
)
