// Package warmup decides until when the instance on a daemon's own host counts as cold, from what is published, from health checks and
// from signs of a restart.
package warmup
