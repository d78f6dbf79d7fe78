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

// importerModule returns the go.mod of another module that imports this one from its folder.
func importerModule(t *testing.T, moduleDir string) string {
	raw, err := os.ReadFile(filepath.Join(moduleDir, "go.mod"))
	if err != nil {
		t.Fatal(err)
	}
	goMod := regexp.MustCompile(`(?m)^module .*$`).ReplaceAllString(string(raw), "module example.org/importer")
	return goMod + "\nrequire github.com/foxtailhook/foxtailhook v0.0.0\nreplace github.com/foxtailhook/foxtailhook => " + moduleDir + "\n"
}

func TestImportersOutsideTheModule(t *testing.T) {
	// Other modules can't import packages under internal/, so a package of parts
	// whose constructor needs a type from there compiles only in this module,
	// and the tests of this module don't notice.
	Convey("Another module builds with the root package and parts", t, func() {
		moduleDir, err := filepath.Abs(root)
		So(err, ShouldBeNil)
		sums, err := os.ReadFile(filepath.Join(moduleDir, "go.sum"))
		So(err, ShouldBeNil)
		dir := t.TempDir()
		files := map[string]string{"go.mod": importerModule(t, moduleDir), "go.sum": string(sums), "main.go": importer}
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
	Convey("The packages of parts import neither the daemon nor the wire protocols", t, func() {
		for _, f := range sources(t, "parts") {
			for _, name := range f.imports {
				So(strings.HasPrefix(name, module+"internal/app"), ShouldBeFalse)
				So(strings.HasPrefix(name, module+"internal/wire"), ShouldBeFalse)
			}
		}
	})
}
