package multicast

// FanOut is the number of hosts to which one host passes a message on. Three hops reach 4,096 hosts.
const FanOut = 16

// Split divides the receivers into at most FanOut parts of nearly the same size. The first host of a part gets the message and passes it on to the
// rest; if it can't be reached, the next one takes its place.
func Split[T any](receivers []T) [][]T {
	count := min(FanOut, len(receivers))
	parts := make([][]T, 0, count)
	for i := range count {
		parts = append(parts, receivers[i*len(receivers)/count:(i+1)*len(receivers)/count])
	}
	return parts
}
