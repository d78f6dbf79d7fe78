// Package lists defines the lists that operators and the platform publish, and
// validates them: a value is accepted or rejected as a whole.
package lists
