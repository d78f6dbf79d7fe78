package foxtailhook

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRunChecksItsOptions(t *testing.T) {
	Convey("A daemon without a host, service or zone says so and does not start", t, func() {
		err := New().Run(t.Context())
		So(err, ShouldNotBeNil)
		for _, flag := range []string{"-host", "-service", "-zone"} {
			So(err.Error(), ShouldContainSubstring, flag)
		}
	})
}
