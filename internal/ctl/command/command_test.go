package command

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	. "github.com/smartystreets/goconvey/convey"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"foxctl": func() {
		os.Exit(Run(context.Background(), os.Args[1:], Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
	}})
}

func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"ends": cmdEnds, "big": cmdBig},
	})
}

// cmdEnds is ends CODE COMMAND...: run the command and expect the exit code.
func cmdEnds(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// cmdBig is big FILE: write a file of 2 MB, twice the maximum size of a list.
func cmdBig(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), bytes.Repeat([]byte(" "), 2<<20), 0o644))
}

func TestHelp(t *testing.T) {
	lines := []string{"", "check", "diff", "key", "key new", "key hash", "status", "explain", "capacity", "reference"}
	Convey("The help of every command goes to standard output and has the exit codes", t, func() {
		for _, line := range lines {
			Convey("foxctl "+line, func() {
				var out, errs bytes.Buffer
				code := Run(t.Context(), append(strings.Fields(line), "-h"), Streams{In: strings.NewReader(""), Out: &out, Err: &errs})
				So(code, ShouldEqual, ExitDone)
				So(errs.String(), ShouldBeBlank)
				So(out.String(), ShouldContainSubstring, "foxctl "+line)
				So(out.String(), ShouldContainSubstring, "EXIT CODES")
			})
		}
	})
}
