// Package shares makes the organisations that send far more than usual bear a shortage before others do.
//
// Meter is the collector's part: it learns the usual demand of each organisation and lists those that exceed it. Fractions is the
// daemon's part: it has the fraction of such an organisation's requests that counts as usual. Package shed counts the others as
// surplus of their traffic class, and package allot admits surplus only by the capacity that all other requests leave.
package shares
