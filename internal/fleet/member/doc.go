// Package member combines the configuration service's host list, which lags behind, with
// what the daemons observe themselves: which hosts report that they are leaving, and
// which can't be reached.
//
// A host that can't be reached is a suspect. Only the choice of a host for a request
// depends on that: a suspect may be alive on the other side of a partition and go on
// spending the tokens it holds, so nothing that a suspect holds is ever given to another.
package member
