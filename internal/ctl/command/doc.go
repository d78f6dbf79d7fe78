// Package command is the command line of foxctl; it can be run without a process.
package command
