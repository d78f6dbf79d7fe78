package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

func cmdProgram(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "program CODE NAME ARGUMENT...")
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	f := fleetOf(ts)
	var expanded []string
	for _, arg := range args[2:] {
		expanded = append(expanded, f.expand(ts, arg))
	}
	err = ts.Exec(filepath.Join(f.bin, args[1]), expanded...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// expand replaces @platform by the platform's address, @HOST by the host's operators' address and %HOST by its log file.
func (f *fleet) expand(ts *testscript.TestScript, arg string) string {
	if arg == "@platform" {
		return f.address(platformHost, platformPort).String()
	}
	if name, ok := strings.CutPrefix(arg, "%"); ok {
		return filepath.Join(f.dir, fmt.Sprintf("%s.log", name))
	}
	name, ok := strings.CutPrefix(arg, "@")
	if !ok {
		return arg
	}
	h := f.hosts[name]
	if h == nil {
		ts.Fatalf("no host %q", name)
	}
	return f.address(h.number, operatorsPort).String()
}

func cmdBig(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "big FILE")
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), bytes.Repeat([]byte(" "), 2<<20), 0o644))
}

func cmdDirect(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "direct NAME METHOD PATH [body=B]")
	f := fleetOf(ts)
	url := "http://" + f.address(f.hosts[args[0]].number, upstreamPort).String() + args[2]
	req, err := http.NewRequest(args[1], url, strings.NewReader(parseOptions(ts, args[3:])["body"]))
	ts.Check(err)
	out, err := sendRequest(req)
	ts.Check(err)
	_, _ = io.WriteString(ts.Stdout(), out)
}
