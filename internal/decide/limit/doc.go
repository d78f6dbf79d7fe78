// Package limit learns how many requests an upstream can run at once without queueing them inside.
package limit
