// Package instance speaks HTTP with the instance beside a daemon: each request
// is sent at most once, and only a whole answer that belongs to it comes back.
package instance
