// Package draft reads the lists as an operator has them at hand, before they are published.
package draft
