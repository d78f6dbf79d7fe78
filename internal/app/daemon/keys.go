package daemon

import "github.com/foxtailhook/foxtailhook/internal/domain/lists"

// keyStill returns a check of whether the key that was in force in the view still is.
//
// A key may be withdrawn while a request of its organisation waits in a queue or
// for a second attempt. Run after that, it would be work for a caller that was
// shut out. Where the list has not changed since, the check is one comparison.
func (d *Daemon) keyStill(admitted *lists.View, key, organisation string) func() bool {
	version := admitted.Version(lists.KindKeys)
	return func() bool {
		view := d.view.Load()
		if view.Version(lists.KindKeys) == version {
			return true
		}
		now, ok := view.Authenticate(key)
		return ok && now == organisation
	}
}

// inForce reports whether the key that came with the request is still in force.
func (a *admitted) inForce() bool { return a.still == nil || a.still() }
