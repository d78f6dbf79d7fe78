// Package telemetry sets up the JSON log and the metrics of a process.
package telemetry
