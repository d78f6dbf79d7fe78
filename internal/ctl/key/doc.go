// Package key creates organisation keys and the list entries that publish their hashes.
package key
