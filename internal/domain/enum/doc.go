// Package enum finds the value of an enum by its name.
package enum
