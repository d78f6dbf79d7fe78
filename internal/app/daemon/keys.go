package daemon

import "github.com/foxtailhook/foxtailhook/internal/domain/lists"

// keyCheck returns a check of whether the key that was in force in the view still is.
//
// A key may be withdrawn while a request of its organisation waits in a queue or
// for a second attempt. Run after that, it would be work for a caller that was
// shut out. Where the list has not changed since, the check is one comparison.
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

// hasValidKey reports whether the key that came with the request is still in force.
func (a *admitted) hasValidKey() bool { return a.keyValid == nil || a.keyValid() }
