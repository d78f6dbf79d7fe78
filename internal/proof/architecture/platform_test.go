package architecture

import (
	"os"
	"regexp"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// wireNames are names of the users' platform that stand for all of them: headers, keys, fields and words of its pages.
var wireNames = regexp.MustCompile(`(?i)traffic-split|target-instance|op/config|cold-remaining|api-keys|kv-watch|kv-range|tenant|sidecar|` +
	`not-executed|response-signature|retry-budget|app-addr`)

func TestThePlatformsNamesStayInItsFolder(t *testing.T) {
	// The platform renames a field, and the change has to be made in ten places. Or a name that misleads there is taken over
	// inside, and whoever reads the code is misled too.
	Convey("Only the adapter knows names of the platform", t, func() {
		var found []string
		for _, folder := range []string{"internal", "cmd", "parts"} {
			for _, f := range sources(t, folder) {
				raw, err := os.ReadFile(f.path)
				So(err, ShouldBeNil)
				if name := wireNames.Find(raw); name != nil {
					found = append(found, f.path+": "+string(name))
				}
			}
		}
		So(found, ShouldBeEmpty)
	})
	Convey("Nothing but the program that plugs it in imports the adapter", t, func() {
		var found []string
		for _, folder := range []string{"internal", "parts"} {
			for _, f := range sources(t, folder) {
				for _, name := range f.imports {
					if below(name, []string{module + "platform"}) {
						found = append(found, f.path)
					}
				}
			}
		}
		So(found, ShouldBeEmpty)
	})
}
