// Package latency compares the latencies of several ways to the same upstream, measured concurrently.
package latency
