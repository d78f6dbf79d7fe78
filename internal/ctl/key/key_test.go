package key

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

func TestNew(t *testing.T) {
	Convey("A new key is valid once its entry is published", t, func() {
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
	Convey("Names that the list would reject and keys that are too short or have blanks are refused", t, func() {
		_, err := New("two words", "k")
		So(err.Error(), ShouldContainSubstring, "organisation")
		_, err = Existing("short", "dealer", "k")
		So(err, ShouldNotBeNil)
		_, err = Existing(strings.Repeat("a b", 10), "dealer", "k")
		So(err, ShouldNotBeNil)
	})
}
