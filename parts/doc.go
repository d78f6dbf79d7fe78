// Package parts holds the coordination algorithms that can be used without the daemon.
//
// Each is a package below this one. None does input or output: the embedding
// program provides time, sockets and goroutines.
package parts
