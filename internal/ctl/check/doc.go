// Package check finds every fault of the lists and the settings before they reach the fleet.
package check
