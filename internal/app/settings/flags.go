package settings

import (
	"flag"
	"strings"
)

// Flag describes one setting, for reference pages and tools.
type Flag struct {
	// Name is the flag's name without its dash.
	Name string
	// Env is the environment variable that sets it.
	Env string
	// Default is the default value as text.
	Default string
	// Help is the text that -h prints, with unit and bounds.
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

// separateUnknown removes unknown flags, with the value that follows each, from the
// arguments. The flag package stops at the first one, so an operator who mistyped a
// name would learn of all other faults only at the next start.
func separateUnknown(fs *flag.FlagSet, args []string) (known, unknown []string) {
	for i := 0; i < len(args); i++ {
		name, hasValue := flagName(args[i])
		if name == "" {
			return append(known, args[i:]...), unknown
		}
		end := i + 1
		if !hasValue && end < len(args) && !isHelp(name) {
			end++
		}
		if fs.Lookup(name) != nil || isHelp(name) {
			known = append(known, args[i:end]...)
		} else {
			unknown = append(unknown, "-"+name)
			if end == i+2 && strings.HasPrefix(args[i+1], "-") {
				end--
			}
		}
		i = end - 1
	}
	return known, unknown
}

// flagName returns the name of a flag and whether the argument includes its value; the name is empty if the argument isn't a flag.
func flagName(arg string) (name string, hasValue bool) {
	trimmed := strings.TrimPrefix(strings.TrimPrefix(arg, "-"), "-")
	if trimmed == arg || trimmed == "" {
		return "", false
	}
	name, _, hasValue = strings.Cut(trimmed, "=")
	return name, hasValue
}

func isHelp(name string) bool { return name == "h" || name == "help" }
