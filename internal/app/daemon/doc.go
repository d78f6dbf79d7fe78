// Package daemon wires the decisions to sockets: it is the process beside each upstream.
package daemon
