// Package diff compares two sets of lists and describes the changes for each organisation.
package diff
