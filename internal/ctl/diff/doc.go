// Package diff tells what a change of the lists would do to each organisation.
package diff
