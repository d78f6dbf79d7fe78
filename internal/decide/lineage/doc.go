// Package lineage finds the running request that an instance's own call belongs to.
package lineage
