// Package key makes organisation keys and the entries that publish them.
package key
