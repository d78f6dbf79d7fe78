package daemon

import "github.com/foxtailhook/foxtailhook/internal/domain/lists"

// keyCheck returns a function that reports whether the key that was valid in the view still is.
//
// A key may be withdrawn while a request waits in a queue or before a retry; running it afterwards would be work for a
// caller that no longer has access. While the list of keys is unchanged, the check costs one comparison.
func (d *Daemon) keyCheck(admitted *lists.View, key, organisation string) func() bool {
	version := admitted.Version(lists.KindKeys)
	return func() bool {
		view := d.view.Load()
		if view.Version(lists.KindKeys) == version {
			return true
		}
		current, ok := view.Authenticate(key)
		return ok && current == organisation
	}
}

// hasValidKey reports whether the key that came with the request is still valid.
func (a *admittedRequest) hasValidKey() bool { return a.keyValid == nil || a.keyValid() }
