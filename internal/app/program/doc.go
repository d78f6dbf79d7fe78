// Package program runs the commands of the tools that come with the daemon.
package program
