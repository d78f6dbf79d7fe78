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

// decisionAreas are the folders whose packages make decisions and can be tested without sockets, files or a log.
var decisionAreas = []string{"internal/decide", "internal/domain", "internal/fleet"}

// Packages of decisionAreas must not import any of ioPackages nor a package below
// one of them. ioExempt lists the exceptions, which hold data only.
var (
	ioPackages = []string{
		"net", "os", "log", "syscall", "io/ioutil", "io/fs", "database", "plugin", "testing", "github.com/lesismal/nbio",
		"github.com/sirupsen/logrus", "github.com/uber-go/tally", "github.com/prometheus", "github.com/peterbourgon/ff",
	}
	ioExempt = []string{"net/netip"}
)

// file is one source file with its imports.
type file struct {
	path    string
	imports []string
}

// sources returns the source files below a folder, without tests.
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

func isBelow(name string, roots []string) bool {
	return slices.ContainsFunc(roots, func(r string) bool { return name == r || strings.HasPrefix(name, r+"/") })
}

// forbiddenReason returns why a package of decisionAreas must not import the package with that path, or "" if it may.
func forbiddenReason(name string) string {
	folder, ownModule := strings.CutPrefix(name, module)
	switch {
	case isBelow(name, ioExempt):
		return ""
	case isBelow(name, ioPackages):
		return "input and output"
	case ownModule && !isBelow(folder, decisionAreas):
		return "an area that does input and output"
	default:
		return ""
	}
}

func TestDecisionsDoNoInputOrOutput(t *testing.T) {
	// Decision code that opens a socket, reads a file or writes a log line can't
	// be tested under simulated load, and blocks every caller while the I/O blocks.
	Convey("Packages that make decisions import nothing that does input or output", t, func() {
		var found []string
		for _, folder := range decisionAreas {
			files := sources(t, folder)
			So(files, ShouldNotBeEmpty)
			for _, f := range files {
				for _, name := range f.imports {
					if reason := forbiddenReason(name); reason != "" {
						found = append(found, f.path+" imports "+name+": "+reason)
					}
				}
			}
		}
		So(found, ShouldBeEmpty)
	})
	Convey("The rule distinguishes I/O packages from others", t, func() {
		for _, name := range []string{"net", "net/http", "os", "os/signal", "log", "log/slog", "github.com/lesismal/nbio/nbhttp", module + "internal/wire/peer"} {
			So(forbiddenReason(name), ShouldNotBeBlank)
		}
		for _, name := range []string{"net/netip", "time", "sync", "netx", module + "internal/domain/call"} {
			So(forbiddenReason(name), ShouldBeBlank)
		}
	})
}

func TestOnlyProgramsAndToolsImportTheDaemon(t *testing.T) {
	Convey("Only programs, the root package and tools import internal/app, the wiring of the daemon", t, func() {
		var found []string
		for _, folder := range []string{"internal/wire", "internal/standin", "internal/load", "internal/decide", "internal/domain", "internal/fleet"} {
			for _, f := range sources(t, folder) {
				for _, name := range f.imports {
					if isBelow(name, []string{module + "internal/app"}) {
						found = append(found, f.path+" imports "+name)
					}
				}
			}
		}
		So(found, ShouldBeEmpty)
	})
}
