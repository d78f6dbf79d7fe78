// Package reference writes the tables of settings, reasons and metrics, so that the pages can't differ from the program.
package reference
