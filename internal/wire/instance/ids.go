package instance

import "slices"

// maxRecentIDs bounds the ids that a connection remembers. A second response that arrives later than after this many other responses, and just
// while a further attempt with its id is under way on the same connection, is not told apart.
const maxRecentIDs = 64

// recentIDs holds the ids of the last requests on a connection, the oldest of which are forgotten.
type recentIDs struct {
	ids   [maxRecentIDs]string
	added int
}

func (r *recentIDs) add(id string) {
	r.ids[r.added%maxRecentIDs] = id
	r.added++
}

// mayInclude reports whether one of the requests may have had the id: it is the same, or it is empty and there was any request.
func (r *recentIDs) mayInclude(id string) bool {
	if id == "" {
		return r.added > 0
	}
	return slices.Contains(r.ids[:min(r.added, maxRecentIDs)], id)
}
