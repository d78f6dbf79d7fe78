// Package loopback provides tests with addresses that no other test or process uses.
package loopback
