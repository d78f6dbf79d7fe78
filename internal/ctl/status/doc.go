// Package status reads the status of daemons and finds faults and differences between them.
package status
