// Package parts is the folder of the coordination parts that work alone, without the daemon.
//
// Each is a package of its own below this one. All are free of input and
// output: the embedding program brings time, sockets and threads.
package parts
