// Package member joins the platform's lagging list of hosts with what the
// daemons see themselves: who says it is leaving, and who can't be reached.
//
// A host that can't be reached is a suspect, which only placing goes by: it may
// be alive on the other side of a partition and go on spending what it holds,
// so nothing of a suspect is ever given to another.
package member
