package bounded

//go:generate stringer -type=Purpose -linecomment

// Purpose is what memory is held for.
type Purpose uint8

const (
	// CallerRequest is for bodies of callers' requests while they arrive and until they are answered.
	CallerRequest Purpose = iota // callerRequest
	// PeerRequest is for requests that other daemons hand over, from the announcement of their size to the end of their run.
	PeerRequest // peerRequest
	// InstanceResponse is for responses of the instance, until the kernel has them.
	InstanceResponse // instanceResponse
	// CallerResponse is for responses that other daemons return, from the announcement of their size until the kernel has them.
	CallerResponse // callerResponse
	// Growing is for the beginning of a body of unknown length that is no longer small. It has little memory: what holds some waits for the memory of the
	// whole body, which must not depend on what other beginnings take.
	Growing // growing
	// Joining is for the copy that puts a body of unknown length into one piece.
	Joining // joining
	// ResponseHead is for the heads of an instance's responses that are larger than usual, until the kernel has the responses.
	ResponseHead // responseHead
	// FleetMessage is for what daemons tell each other beside requests. It is counted and never refused.
	FleetMessage // fleetMessage
)

// Purposes is the number of purposes.
const Purposes = int(FleetMessage) + 1

// SmallBytes is the size in bytes up to which a message counts as small. Small messages have memory of their own, so that they neither wait nor are
// refused for large ones.
const SmallBytes = 64 << 10

// Limits bound the memory that messages may take, in bytes.
type Limits struct {
	// Total bounds all large messages together.
	Total int64
	// Each bounds the large messages of one purpose. Without it, requests that wait for their responses could take all the room which these need.
	Each int64
	// Requests bounds the large requests of callers and of other daemons together; 0 leaves them to the other limits.
	Requests int64
	// Small bounds all small messages together.
	Small int64
}

// Memory of a process that messages may take, as fractions of it. The rest is for the daemon's own state, for garbage between two collections and
// for the kernel's buffers.
const (
	totalFraction = 0.46
	eachFraction  = 0.25
	smallFraction = 0.125
	// holderDivisor divides the limits for what is held for one receiver: one that doesn't read must not take the room of all others.
	holderDivisor      = 2
	smallHolderDivisor = 4
	// growingDivisor divides the limit of one purpose for the beginnings of bodies of unknown length.
	growingDivisor = 8
	// headDivisor divides the limit of one purpose for heads.
	headDivisor = 4
)

// LimitsOf returns the limits of a process that may use so many bytes of memory.
func LimitsOf(memory int64) Limits {
	return Limits{Total: int64(totalFraction * float64(memory)), Each: int64(eachFraction * float64(memory)), Small: int64(smallFraction * float64(memory))}
}
