package architecture

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	root   = "../../.."
	module = "github.com/foxtailhook/foxtailhook/"
)

// pure are the areas that decide: they run in a test without sockets, files or a log.
var pure = []string{"internal/decide", "internal/domain", "internal/fleet"}

// inputOutput are imports that a deciding package must not have, each with all
// packages below it; exempt are those below them that carry data only.
var (
	inputOutput = []string{
		"net", "os", "log", "syscall", "io/ioutil", "io/fs", "database", "plugin", "testing", "github.com/lesismal/nbio",
		"github.com/sirupsen/logrus", "github.com/uber-go/tally", "github.com/prometheus", "github.com/peterbourgon/ff",
	}
	exempt = []string{"net/netip"}
)

// file is one source file, tests aside, with what it imports.
type file struct {
	path    string
	imports []string
}

// sources returns the files below a folder, tests aside.
func sources(t *testing.T, folder string) []file {
	var all []file
	err := filepath.WalkDir(filepath.Join(root, folder), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		f := file{path: path}
		for _, i := range parsed.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			f.imports = append(f.imports, name)
		}
		all = append(all, f)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func below(name string, roots []string) bool {
	return slices.ContainsFunc(roots, func(r string) bool { return name == r || strings.HasPrefix(name, r+"/") })
}

// forbidden returns why a deciding package must not import the name, or "".
func forbidden(name string) string {
	inside, ours := strings.CutPrefix(name, module)
	switch {
	case below(name, exempt):
		return ""
	case below(name, inputOutput):
		return "input and output"
	case ours && !below(inside, pure):
		return "an area that does input and output"
	default:
		return ""
	}
}

func TestDecisionsDoNoInputOrOutput(t *testing.T) {
	// A decision that opens a socket, reads a file or writes a log line can't
	// be put through a burst in a test, and blocks every caller when the other
	// end does.
	Convey("Packages that decide import nothing that does input or output", t, func() {
		var found []string
		for _, folder := range pure {
			files := sources(t, folder)
			So(files, ShouldNotBeEmpty)
			for _, f := range files {
				for _, name := range f.imports {
					if why := forbidden(name); why != "" {
						found = append(found, f.path+" imports "+name+": "+why)
					}
				}
			}
		}
		So(found, ShouldBeEmpty)
	})
	Convey("The rule itself tells the two apart", t, func() {
		for _, name := range []string{"net", "net/http", "os", "os/signal", "log", "log/slog", "github.com/lesismal/nbio/nbhttp", module + "internal/wire/peer"} {
			So(forbidden(name), ShouldNotBeBlank)
		}
		for _, name := range []string{"net/netip", "time", "sync", "netx", module + "internal/domain/call"} {
			So(forbidden(name), ShouldBeBlank)
		}
	})
}

func TestWiringIsInOnePlace(t *testing.T) {
	Convey("Only the programs, the root package and the tools import the wiring of the daemon", t, func() {
		var found []string
		for _, folder := range []string{"internal/wire", "internal/standin", "internal/load", "internal/decide", "internal/domain", "internal/fleet"} {
			for _, f := range sources(t, folder) {
				for _, name := range f.imports {
					if below(name, []string{module + "internal/app"}) {
						found = append(found, f.path+" imports "+name)
					}
				}
			}
		}
		So(found, ShouldBeEmpty)
	})
}
