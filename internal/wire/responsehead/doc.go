// Package responsehead checks that the heads of HTTP/1 responses are what the protocol allows, before net/http reads them: it takes some that aren't, and
// may then take other bytes for the body than the server meant.
package responsehead
