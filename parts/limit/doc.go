// Package limit learns how many requests an upstream runs well at once.
package limit
