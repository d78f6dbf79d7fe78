// Package mechanism names the decisions that can be disabled one by one, to measure the effect of each or to rule one out during an
// incident.
package mechanism
