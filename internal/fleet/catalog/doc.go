// Package catalog keeps the newest configuration and the live instances that a
// daemon knows of, from the store where they are published and from other daemons.
package catalog
