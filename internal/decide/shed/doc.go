// Package shed turns callers' requests away at the front while a service that
// they need is full, the less important ones first.
package shed
