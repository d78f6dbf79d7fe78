// Package draft reads an operator's lists before they are published.
package draft
