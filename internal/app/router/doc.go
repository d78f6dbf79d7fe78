// Package router is the daemon that runs next to each instance: it takes the requests of the callers on its host, picks an instance for
// each, and runs what other daemons send to the local instance.
package router
