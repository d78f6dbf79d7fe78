// Package malformed has parts of HTTP/1 responses that the protocol doesn't allow, for the tests of everything that reads responses.
package malformed
