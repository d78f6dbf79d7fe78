package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const root = "../../.."

var linkPattern = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)

// linkTargets returns the files that a page links to, relative to the root.
func linkTargets(t *testing.T, page string) []string {
	raw, err := os.ReadFile(filepath.Join(root, page))
	if err != nil {
		t.Fatal(err)
	}
	var all []string
	for _, m := range linkPattern.FindAllStringSubmatch(string(raw), -1) {
		if !strings.Contains(m[1], "://") {
			all = append(all, filepath.Join(filepath.Dir(page), m[1]))
		}
	}
	return all
}

func TestEveryPageIsReachableFromTheReadme(t *testing.T) {
	// When files are renamed or pages added, links break and pages are left that
	// no other page links to, so that readers don't find them.
	reached := map[string]bool{"README.md": true}
	queue := []string{"README.md"}
	var broken []string
	for len(queue) > 0 {
		page := queue[0]
		queue = queue[1:]
		for _, to := range linkTargets(t, page) {
			if _, err := os.Stat(filepath.Join(root, to)); err != nil {
				broken = append(broken, page+" -> "+to)
				continue
			}
			if strings.HasSuffix(to, ".md") && !reached[to] {
				reached[to] = true
				queue = append(queue, to)
			}
		}
	}
	var unreachable []string
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, d fs.DirEntry, err error) error {
		page, _ := filepath.Rel(root, path)
		if err == nil && !d.IsDir() && strings.HasSuffix(page, ".md") && !reached[page] {
			unreachable = append(unreachable, page)
		}
		return err
	})
	Convey("Links have targets, and every page below docs is reachable from the readme", t, func() {
		So(err, ShouldBeNil)
		So(broken, ShouldBeEmpty)
		So(unreachable, ShouldBeEmpty)
	})
}
