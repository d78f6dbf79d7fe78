// Package platform reads and watches the lists that the configuration service publishes.
package platform
