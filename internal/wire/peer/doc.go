// Package peer carries typed messages between daemons: msgpack bodies in
// length-framed TCP on nbio, many calls in flight on one connection.
package peer
