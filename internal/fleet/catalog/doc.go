// Package catalog keeps the newest configuration and the live instances that a router has received,
// from the configuration store or from other daemons. The configuration store, or store, holds
// these as entries under keys and numbers every change.
package catalog
