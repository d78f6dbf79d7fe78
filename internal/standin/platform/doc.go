// Package platform is a minimal configuration service for demos and tests.
package platform
