// Package budget bounds the upstream runs of one request over its whole call chain, retries included.
package budget
