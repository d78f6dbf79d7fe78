// Package admission decides which requests an upstream runs now, which wait and which are refused.
package admission
