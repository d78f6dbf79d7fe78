// Package platform is a client that reads and watches the lists of the configuration service: the
// part of the platform that publishes them.
package platform
