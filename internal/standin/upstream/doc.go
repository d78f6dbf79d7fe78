// Package upstream is a small stand-in for an upstream with slots, latency and calls of its own, for demos and tests.
package upstream
