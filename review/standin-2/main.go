// Command standin2 plays the cases of the second review: a small deployment with stand-ins for the platform, the clients and the instances, and the
// project's daemons as processes of their own.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// cases are the scenarios by name; each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"encoded": playEncoded,
	"grace":   playGrace,
	"heads":   playHeads,
	"uploads": playUploads,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER, in the repository")
		return cantRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	f, err := newFleet(rec)
	if err != nil {
		rec.line("can't run: %v", err)
		return cantRun
	}
	defer f.end()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", os.Args[1], trouble)
	isBroken, err := cases[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		rec.line("can't run: %v", err)
		return cantRun
	case isBroken:
		rec.line("verdict: the rule is broken")
		return broken
	default:
		rec.line("verdict: the rule held")
		return held
	}
}
