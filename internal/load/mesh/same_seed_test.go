package mesh

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSameSeedGivesTheSameRun(t *testing.T) {
	// Guards against a model that draws from another source than its seed: a test then passes or fails by chance.
	Convey("Two simulations of one scenario have the same result", t, func() {
		first := Simulate(limitedRecords(1, 1, 120), 8*time.Second)
		So(Simulate(limitedRecords(1, 1, 120), 8*time.Second), ShouldResemble, first)
	})
}
