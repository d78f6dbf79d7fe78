package spread

import "slices"

// rejectsKept bounds the memory; versions beyond it cost one more fetch each.
const rejectsKept = 16

// rejects are the versions of one list that were rejected and are above the one in force.
type rejects struct {
	versions []uint64
}

func (r *rejects) has(version uint64) bool { return slices.Contains(r.versions, version) }

func (r *rejects) add(version uint64) {
	if r.has(version) {
		return
	}
	r.versions = append(r.versions, version)
	r.versions = r.versions[max(0, len(r.versions)-rejectsKept):]
}

func (r *rejects) passed(version uint64) {
	r.versions = slices.DeleteFunc(r.versions, func(v uint64) bool { return v <= version })
}
