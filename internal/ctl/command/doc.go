// Package command is the command line of foxctl; tests can run it within their own process.
package command
