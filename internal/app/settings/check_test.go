package settings

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func validSettings() Settings {
	s := Default()
	s.Host, s.Service, s.Zone = "h", "s", "z"
	return s
}

func TestCheckOfAssignedSettings(t *testing.T) {
	// A program that embeds the daemon assigns settings directly instead of parsing
	// flags. Without the same bounds, a negative number of slots would end in a
	// panic instead of an error.
	cases := []struct {
		name  string
		set   func(*Settings)
		fault string
	}{
		{"slots below 1", func(s *Settings) { s.Slots = -3 }, "-slots: -3 is not from 1 to 100000"},
		{"no address", func(s *Settings) { s.Platform = netip.AddrPort{} }, "-platform"},
		{"port 0", func(s *Settings) { s.Peers = netip.MustParseAddrPort("127.0.0.1:0") }, "-peers"},
		{"timeout above its bound", func(s *Settings) { s.MaxTimeout = 2 * time.Hour }, "-max-timeout: 2h0m0s is not from 1ms to 1h0m0s"},
		{"two listeners on one address", func(s *Settings) { s.Callers = s.Operators }, "-callers and -operators"},
		{"name with a space", func(s *Settings) { s.Zone = "a b" }, "-zone"},
	}
	Convey("Valid settings have no problem", t, func() {
		s := validSettings()
		So(s.Check(), ShouldBeNil)
	})
	Convey("The bounds of the flags also apply to assigned values", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := validSettings()
				c.set(&s)
				problems, ok := s.Check().(Problems)
				So(ok, ShouldBeTrue)
				So(problems, ShouldHaveLength, 1)
				So(problems[0], ShouldContainSubstring, c.fault)
			})
		}
	})
}

func TestFlags(t *testing.T) {
	Convey("Every setting has a help text and an environment variable", t, func() {
		for _, f := range Flags() {
			So(f.Help, ShouldNotBeBlank)
			So(f.Env, ShouldStartWith, EnvPrefix+"_")
		}
	})
}
