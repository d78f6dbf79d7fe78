// Package admission decides which requests an upstream runs now, which wait in its queue and which are refused.
package admission
