// Package rates simulates a fleet of homes and borrowers of package rate in virtual time, with message loss, duplicates,
// delays and network partitions, and measures refusals, messages and violations of the rates.
package rates
