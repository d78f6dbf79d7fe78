package key

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

func TestNew(t *testing.T) {
	Convey("A new key works once its entry is published", t, func() {
		pair, err := New("dealer", "k1")
		So(err, ShouldBeNil)
		other, err := New("dealer", "k2")
		So(err, ShouldBeNil)
		So(pair.Key, ShouldNotEqual, other.Key)
		raw, err := json.Marshal(lists.Keys{Keys: []lists.Key{pair.Entry, other.Entry}})
		So(err, ShouldBeNil)
		So(string(raw), ShouldNotContainSubstring, pair.Key)
		set := lists.NewSet()
		verdict, _ := set.Offer(lists.Value{Kind: lists.KindKeys, Version: 1, Raw: raw})
		So(verdict, ShouldEqual, lists.Accepted)
		organisation, ok := set.View().Authenticate(pair.Key)
		So(ok, ShouldBeTrue)
		So(organisation, ShouldEqual, "dealer")
	})
	Convey("What the list would reject, or could be guessed, is refused", t, func() {
		_, err := New("two words", "k")
		So(err.Error(), ShouldContainSubstring, "organisation")
		_, err = Of("short", "dealer", "k")
		So(err, ShouldNotBeNil)
		_, err = Of(strings.Repeat("a b", 10), "dealer", "k")
		So(err, ShouldNotBeNil)
	})
}
