// Package peer carries typed messages between daemons: msgpack payloads in
// length-prefixed frames over TCP, with many concurrent calls on one connection.
package peer
