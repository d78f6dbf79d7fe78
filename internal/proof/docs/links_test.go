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

var link = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)

// targets returns the files that a page links to, from the root.
func targets(t *testing.T, page string) []string {
	raw, err := os.ReadFile(filepath.Join(root, page))
	if err != nil {
		t.Fatal(err)
	}
	var all []string
	for _, m := range link.FindAllStringSubmatch(string(raw), -1) {
		if !strings.Contains(m[1], "://") {
			all = append(all, filepath.Join(filepath.Dir(page), m[1]))
		}
	}
	return all
}

func TestEveryPageIsFoundFromTheReadme(t *testing.T) {
	// A newcomer follows a link into nothing, or never learns of the page that
	// would have answered the question.
	seen := map[string]bool{"README.md": true}
	queue := []string{"README.md"}
	var broken []string
	for len(queue) > 0 {
		page := queue[0]
		queue = queue[1:]
		for _, to := range targets(t, page) {
			if _, err := os.Stat(filepath.Join(root, to)); err != nil {
				broken = append(broken, page+" -> "+to)
				continue
			}
			if strings.HasSuffix(to, ".md") && !seen[to] {
				seen[to] = true
				queue = append(queue, to)
			}
		}
	}
	var lost []string
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, d fs.DirEntry, err error) error {
		page, _ := filepath.Rel(root, path)
		if err == nil && !d.IsDir() && strings.HasSuffix(page, ".md") && !seen[page] {
			lost = append(lost, page)
		}
		return err
	})
	Convey("Links lead to files, and every page below docs can be reached", t, func() {
		So(err, ShouldBeNil)
		So(broken, ShouldBeEmpty)
		So(lost, ShouldBeEmpty)
	})
}
