// Package scenario proves the system's promises with scripts that drive real
// processes through kills, pauses, cuts and platform outages.
//
// The scripts are testdata/*.txtar in the language of testscript, with the
// commands listed in commands_test.go.
package scenario
