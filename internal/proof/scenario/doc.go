// Package scenario tests the system's guarantees with scripts that run real
// processes and inject crashes, pauses, network partitions and platform outages.
//
// The scripts are testdata/*.txtar in the language of testscript, with the
// commands listed in commands_test.go.
package scenario
