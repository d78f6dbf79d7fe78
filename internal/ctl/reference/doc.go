// Package reference generates the pages of settings, reasons and metrics from the code, so that they can't differ from the
// program.
package reference
