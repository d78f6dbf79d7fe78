// Package enum reads enums by the names that they are written with.
package enum
