package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/ctl/check"
	"github.com/foxtailhook/foxtailhook/internal/ctl/draft"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// listFlags are the flags that name the files of lists.
type listFlags struct {
	dir   string
	paths draft.Paths
}

func (l *listFlags) bind(fs *flag.FlagSet) {
	fs.StringVar(&l.dir, "lists", "", "folder with plans.json, uses.json, keys.json and hosts.json, those that there are")
	for k := range lists.Kinds {
		name := lists.Kind(k).String()
		fs.StringVar(&l.paths[k], name, "", "file with "+name+", instead of the one in -lists")
	}
}

func (l *listFlags) readFiles() ([lists.Kinds]draft.File, error) {
	return draft.Read(l.paths.FillFrom(l.dir))
}

func countFiles(files [lists.Kinds]draft.File) int {
	n := 0
	for _, f := range files {
		if f.Name != "" {
			n++
		}
	}
	return n
}

func (a *app) checkCommand() *ffcli.Command {
	fs := a.flags("foxctl check")
	var from listFlags
	from.bind(fs)
	env := fs.String("env", "", "file with the daemon's environment, NAME=VALUE a line")
	strict := fs.Bool("strict", false, "exit 3 for warnings too")
	asJSON := fs.Bool("json", false, "print a JSON array of findings")
	return &ffcli.Command{
		Name: "check", FlagSet: fs,
		ShortUsage: "foxctl check [-lists DIR] [-env FILE] [flags] [-- DAEMON FLAGS]",
		ShortHelp:  "Finds every fault of lists and settings in one go, with its place.",
		LongHelp: "Reads lists and a daemon's settings by the rules that daemons follow, and prints every fault with its place.\n" +
			"Warnings are entries that daemons accept and that another list contradicts, such as a key of an unknown organisation.\n" +
			"Arguments behind -- are taken as the daemon's own flags.\n\n" + exitCodes,
		Exec: func(_ context.Context, args []string) error {
			files, err := from.readFiles()
			if err != nil {
				return err
			}
			if countFiles(files) == 0 && *env == "" && len(args) == 0 {
				return usagef("nothing to check: name -lists, a list, -env or daemon flags behind --")
			}
			found := check.Lists(draft.Parse(files))
			settings, err := checkSettings(*env, args)
			if err != nil {
				return err
			}
			return a.printFindings(append(found, settings...), *strict, *asJSON)
		},
	}
}

func checkSettings(env string, args []string) (check.Findings, error) {
	if env == "" && len(args) == 0 {
		return nil, nil
	}
	var raw []byte
	if env != "" {
		read, err := os.ReadFile(env)
		if err != nil {
			return nil, errors.Wrap(err, "read environment")
		}
		raw = read
	}
	return check.Settings(env, raw, args), nil
}

func (a *app) printFindings(found check.Findings, strict, asJSON bool) error {
	if asJSON {
		if found == nil {
			found = check.Findings{}
		}
		if err := a.printJSON(found); err != nil {
			return err
		}
	} else {
		for _, f := range found {
			fmt.Fprintln(a.Out, f)
		}
	}
	return foundError(found.Faulty() || strict && len(found) > 0)
}
