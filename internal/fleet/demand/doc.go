// Package demand sums up what all daemons are asked for by each organisation.
package demand
