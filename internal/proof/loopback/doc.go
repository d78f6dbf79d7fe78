// Package loopback gives tests addresses that no other test or process uses.
package loopback
