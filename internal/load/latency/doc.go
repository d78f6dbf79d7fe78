// Package latency measures several ways to the same upstream side by side.
package latency
