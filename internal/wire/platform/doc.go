// Package platform is a client that reads and watches the lists of the configuration service.
package platform
