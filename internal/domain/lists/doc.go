// Package lists holds the values that operators and the platform publish and
// the rules by which a value is accepted as a whole or rejected as a whole.
package lists
