// Package platform is a small stand-in for the configuration service, for demos and tests.
package platform
