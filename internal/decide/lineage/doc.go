// Package lineage finds the active run that a sub-call of the local instance belongs to.
package lineage
