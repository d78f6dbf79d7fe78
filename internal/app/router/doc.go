// Package router is the daemon that runs next to each instance on the users' platform: it takes the requests of the
// callers on its host, picks an instance for each, and runs what other daemons send to the local instance. It reads
// routes and instances from the platform's configuration store, and the daemons coordinate through collectors (package
// collect). Its comments call this process the daemon too.
package router
