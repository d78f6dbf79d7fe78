// Package bootstrap brings what is published to daemons that start together, without a read of the configuration store by each of them.
package bootstrap
