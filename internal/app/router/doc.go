// Package router is a daemon that serves routes: it takes the requests of the
// callers on its host, picks an instance for each, and runs what others send to the instance beside it.
package router
