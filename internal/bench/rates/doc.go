// Package rates runs many homes and borrowers of package rate in virtual time,
// over a network that loses, doubles, delays and cuts, and measures them.
package rates
