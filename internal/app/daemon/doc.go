// Package daemon is the daemon that the library and the command run with flags: it connects admission control, load
// balancing, rate limits and membership to the network, on the host of each upstream. It reads published lists
// (package lists), exchanges them with its peers (package spread) and needs no collector. The daemon for the users'
// platform is package router.
package daemon
