// Package budget bounds the upstream runs of one request over its whole call chain.
package budget
