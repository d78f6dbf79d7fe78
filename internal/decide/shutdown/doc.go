// Package shutdown decides what a daemon that was ordered to shut down may still accept and begin, and when it ends the rest.
package shutdown
