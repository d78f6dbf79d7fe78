// Package status reads what daemons tell of themselves and finds where they differ.
package status
