// Package catalog keeps the newest configuration and the live instances that a daemon has received, from the configuration store or from
// other daemons.
package catalog
