// Package foxtailhook embeds the overload control layer: a daemon on the host
// of one upstream, which admits, queues, forwards and refuses requests.
//
// New takes options, Run serves until its context is done. The coordination
// algorithms can be used without the daemon; each is a package below parts.
//
// Packages belong under internal/ unless other modules must be able to import
// them, as they must this one and those below parts.
package foxtailhook
