// Package quarantine decides whether a request may run whose content was at work when instances crashed.
//
// Some content makes the process crash that handles it. The request is repeated, by daemons and by its caller under another id, and each
// repeat crashes another instance. A table therefore counts crashes by content, and at maxCrashes the content is refused.
package quarantine
