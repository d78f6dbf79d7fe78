package reference

import (
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPagesMatchTheProgram(t *testing.T) {
	pages := []struct {
		file string
		want string
	}{
		{"../../../docs/SETTINGS.md", Settings()},
		{"../../../docs/REASONS.md", Reasons()},
		{"../../../docs/METRICS.md", Metrics()},
	}
	Convey("The pages are as the program generates them; make docs regenerates them", t, func() {
		for _, p := range pages {
			raw, err := os.ReadFile(p.file)
			So(err, ShouldBeNil)
			So(string(raw), ShouldEqual, p.want)
		}
	})
}
