package settings

import (
	"flag"
	"strings"
)

// Flag describes one setting for pages and tools.
type Flag struct {
	// Name is the flag's name without its dash.
	Name string
	// Env is the environment variable that sets it.
	Env string
	// Default is the value that holds when nobody sets it, as text.
	Default string
	// Help is the sentence that -h shows, with unit and bounds.
	Help string
}

// Flags returns every setting, sorted by name.
func Flags() []Flag {
	fs := flag.NewFlagSet("foxtailhook", flag.ContinueOnError)
	var s Settings
	s.bind(&binder{fs: fs})
	var all []Flag
	fs.VisitAll(func(f *flag.Flag) {
		all = append(all, Flag{Name: f.Name, Env: envName(f.Name), Default: f.DefValue, Help: f.Usage})
	})
	return all
}

// envName returns the variable that ff reads for a flag.
func envName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}
