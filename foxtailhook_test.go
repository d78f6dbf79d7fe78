package foxtailhook

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRunChecksItsOptions(t *testing.T) {
	Convey("Run without host, service and availability zone returns an error that names their flags", t, func() {
		err := New().Run(t.Context())
		So(err, ShouldNotBeNil)
		for _, flag := range []string{"-host", "-service", "-zone"} {
			So(err.Error(), ShouldContainSubstring, flag)
		}
	})
}
