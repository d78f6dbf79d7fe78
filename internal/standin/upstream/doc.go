// Package upstream is a stand-in for an upstream with a number of slots, a latency and sub-calls, for demos and tests.
package upstream
