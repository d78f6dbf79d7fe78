// Package peer carries typed messages between daemons: msgpack payloads in length-prefixed frames
// over TCP, with many concurrent calls on one connection. What it calls the response to a request
// is the reply of the packages that define the messages.
package peer
