package call

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

func TestOutcomeOnTheWire(t *testing.T) {
	// Guards against a reply whose outcome is missing or unknown being taken for an upstream's whole response.
	cases := []struct {
		name    string
		payload any
		want    Outcome
	}{
		{"whole", map[string]any{"outcome": 0}, Whole},
		{"not run", map[string]any{"outcome": 1}, NotRun},
		{"unknown", map[string]any{"outcome": 2}, Unknown},
		{"a number that isn't known", map[string]any{"outcome": 3}, Unset},
		{"nil", map[string]any{"outcome": nil}, Unset},
		{"no field", map[string]any{"status": 200}, Unset},
		{"no outcome of the sender's", map[string]any{"outcome": Unset}, Unknown},
		{"whole of this version", map[string]any{"outcome": Whole}, Whole},
		{"not run of this version", map[string]any{"outcome": NotRun}, NotRun},
	}
	for _, c := range cases {
		Convey("An outcome is read: "+c.name, t, func() {
			raw, err := msgpack.Marshal(c.payload)
			So(err, ShouldBeNil)
			var message struct {
				Outcome Outcome `msgpack:"outcome"`
			}
			So(msgpack.Unmarshal(raw, &message), ShouldBeNil)
			So(message.Outcome, ShouldEqual, c.want)
		})
	}
}
