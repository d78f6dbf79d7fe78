package router

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
)

// TestFaultyEntries guards against a log with a line for each of hundreds of faulty entries, again with each copy of the list, and against good
// entries that are lost beside them.
func TestFaultyEntries(t *testing.T) {
	const good, faulty = 700, 300
	Convey("Of a list with hundreds of faulty entries, some are logged, once", t, func() {
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		r := newRouterBeside(good)
		r.log = log
		changes := catalog.Changes{Revision: knownRevision + 1}
		for n := range faulty {
			changes.Entries = append(changes.Entries, catalog.Entry{Key: fmt.Sprint("faulty", n), Revision: changes.Revision, Fault: "unreadable"})
		}
		r.control.done.Go(r.control.run)
		t.Cleanup(r.control.stop)
		for range 3 {
			r.control.applyChanges(changes, storeName)
		}
		So(strings.Count(out.String(), "entry not used"), ShouldEqual, maxLoggedFaults)
		So(strings.Count(out.String(), "further faulty entries"), ShouldEqual, 1)
		So(out.String(), ShouldContainSubstring, fmt.Sprint("count=", faulty-maxLoggedFaults))
		So(r.view.Load().Instances(), ShouldHaveLength, good)
	})
}
