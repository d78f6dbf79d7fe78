// Package check finds every fault of lists and settings before they are published or deployed.
package check
