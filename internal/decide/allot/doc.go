// Package allot decides for the whole fleet which fraction of each traffic class is admitted while services deep in
// the call graph have too few slots for the demand.
package allot
