package architecture

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const importer = `package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/foxtailhook/foxtailhook"
	"github.com/foxtailhook/foxtailhook/parts/admission"
	"github.com/foxtailhook/foxtailhook/parts/budget"
	"github.com/foxtailhook/foxtailhook/parts/limit"
	"github.com/foxtailhook/foxtailhook/parts/queue"
	"github.com/foxtailhook/foxtailhook/parts/rate"
	"github.com/foxtailhook/foxtailhook/parts/spread"
)

func main() {
	settings := foxtailhook.DefaultSettings()
	settings.Slots = 35
	_ = foxtailhook.New(foxtailhook.WithSettings(settings))
	gate := admission.New(limit.NewFixed(settings.Slots), admission.WithLength(8))
	items := queue.New[string]()
	items.Push(&queue.Item[string]{Value: "x", Weight: 1, Cost: 1, Priority: queue.Interactive})
	core := spread.New(spread.Config{Host: "h"}, rand.New(rand.NewPCG(1, 1)), time.Now())
	rate.NewBorrower("h", 1, rate.DefaultLimits()).SetPlans([]rate.Organisation{{Organisation: "o", Rate: 1, Burst: 1}})
	core.SetHosts([]spread.Host{{Host: "h", Zone: "a"}})
	fmt.Println(budget.New(3).Left(), gate.Counts().Ran, items.Len())
}
`

// importerModule returns the go.mod of a module outside this one that uses it from this folder.
func importerModule(t *testing.T, own string) string {
	raw, err := os.ReadFile(filepath.Join(own, "go.mod"))
	if err != nil {
		t.Fatal(err)
	}
	module := regexp.MustCompile(`(?m)^module .*$`).ReplaceAllString(string(raw), "module example.org/importer")
	return module + "\nrequire github.com/foxtailhook/foxtailhook v0.0.0\nreplace github.com/foxtailhook/foxtailhook => " + own + "\n"
}

func TestImportersOutsideTheModule(t *testing.T) {
	// Packages under internal/ can't be imported from elsewhere, and a part
	// whose constructor wants a type from there compiles in this module's own
	// tests and nowhere else.
	Convey("A module of its own builds with the root package and the parts", t, func() {
		own, err := filepath.Abs(root)
		So(err, ShouldBeNil)
		sums, err := os.ReadFile(filepath.Join(own, "go.sum"))
		So(err, ShouldBeNil)
		dir := t.TempDir()
		files := map[string]string{"go.mod": importerModule(t, own), "go.sum": string(sums), "main.go": importer}
		for name, text := range files {
			So(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644), ShouldBeNil)
		}
		run := exec.Command("go", "run", ".")
		run.Dir = dir
		run.Env = append(os.Environ(), "GOFLAGS=-mod=mod", "GOPROXY=off")
		out, err := run.CombinedOutput()
		So(string(out), ShouldEqual, "3 0 1\n")
		So(err, ShouldBeNil)
	})
	Convey("The parts bring no sockets and no daemon with them", t, func() {
		for _, f := range sources(t, "parts") {
			for _, name := range f.imports {
				So(strings.HasPrefix(name, module+"internal/app"), ShouldBeFalse)
				So(strings.HasPrefix(name, module+"internal/wire"), ShouldBeFalse)
			}
		}
	})
}
