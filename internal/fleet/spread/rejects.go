package spread

import "slices"

// maxRejected bounds the memory; a version that is forgotten beyond it costs one more fetch.
const maxRejected = 16

// rejectedVersions are the rejected versions of one list above the one in force.
type rejectedVersions struct {
	versions []uint64
}

func (r *rejectedVersions) has(version uint64) bool { return slices.Contains(r.versions, version) }

func (r *rejectedVersions) add(version uint64) {
	if r.has(version) {
		return
	}
	r.versions = append(r.versions, version)
	r.versions = r.versions[max(0, len(r.versions)-maxRejected):]
}

func (r *rejectedVersions) dropUpTo(version uint64) {
	r.versions = slices.DeleteFunc(r.versions, func(v uint64) bool { return v <= version })
}
