// Package allot decides for the whole fleet which fraction of each traffic class is admitted while services deep in
// the call graph have too few slots for the demand.
//
// The planner runs at a collector (package collect), on the sums of the daemons' reports and the call graph. Its
// decisions reach the ingress daemons as allocations, which package shed applies.
package allot
