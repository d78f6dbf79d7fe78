// Package capacity summarizes what the daemons of a fleet use by role, and how long changes take to reach them, from their logs.
package capacity
