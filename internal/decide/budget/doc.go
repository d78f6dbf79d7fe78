// Package budget bounds the upstream runs of one request over its whole call chain, retries included. The budget of
// one service's retries over all requests is that of package repeats.
package budget
