// Package limit adapts the concurrency limit of an upstream to its latency and its signs of overload.
package limit
