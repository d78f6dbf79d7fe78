// Package allot decides for the whole fleet which part of each lane of callers' requests is begun while services
// deep in the call graph are short of slots.
package allot
