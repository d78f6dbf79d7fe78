// Package lineage finds the active run that a sub-call of the local instance belongs to. From this it learns how many
// sub-calls the runs of each route make, and whether that is certain, which package graph merges over the fleet.
package lineage
