package command

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/ctl/key"
)

func (a *app) keyCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "key", FlagSet: a.flags("foxctl key"),
		ShortUsage:  "foxctl key new|hash [flags]",
		ShortHelp:   "Makes organisation keys and their list entries.",
		LongHelp:    "new makes a key; hash makes the entry of one that an organisation already has.\n\n" + exitCodes,
		Subcommands: []*ffcli.Command{a.keyNewCommand(), a.keyHashCommand()},
		Exec:        requireSubcommand("foxctl key"),
	}
}

// keyFlags are the flags that name a key's entry.
type keyFlags struct {
	organisation string
	id           string
	asJSON       bool
}

func (k *keyFlags) bind(fs *flag.FlagSet) {
	fs.StringVar(&k.organisation, "organisation", "", "organisation that the key is for, as in plans")
	fs.StringVar(&k.id, "id", "", "name of the key in the list, by which it is withdrawn")
	fs.BoolVar(&k.asJSON, "json", false, "print one JSON object")
}

func (k *keyFlags) check(args []string) error {
	if len(args) > 0 {
		return usagef("unexpected argument %q", args[0])
	}
	if k.organisation == "" || k.id == "" {
		return usagef("-organisation and -id must be given")
	}
	return nil
}

func (a *app) keyNewCommand() *ffcli.Command {
	fs := a.flags("foxctl key new")
	var k keyFlags
	k.bind(fs)
	return &ffcli.Command{
		Name: "new", FlagSet: fs,
		ShortUsage: "foxctl key new -organisation NAME -id ID [-json]",
		ShortHelp:  "Makes a key and the entry that publishes its hash.",
		LongHelp: "Prints a new random key, this once, and the entry for the keys list, which holds only its hash.\n" +
			"The key works from a few seconds after the list with the entry is published.\n\n" + exitCodes,
		Exec: func(_ context.Context, args []string) error {
			if err := k.check(args); err != nil {
				return err
			}
			pair, err := key.New(k.organisation, k.id)
			if err != nil {
				return usagef("%v", err)
			}
			if k.asJSON {
				return a.printJSON(pair)
			}
			fmt.Fprintf(a.Out, "key for %s, shown only now:\n%s\n\nentry for the keys list:\n", k.organisation, pair.Key)
			return a.printEntry(pair)
		},
	}
}

func (a *app) keyHashCommand() *ffcli.Command {
	fs := a.flags("foxctl key hash")
	var k keyFlags
	k.bind(fs)
	return &ffcli.Command{
		Name: "hash", FlagSet: fs,
		ShortUsage: "foxctl key hash -organisation NAME -id ID [-json] <FILE",
		ShortHelp:  "Makes the entry of a key that an organisation already has.",
		LongHelp: "Reads a key from one line of standard input, so that it shows in no process list, and prints its entry for the keys list.\n" +
			"It takes keys of at least 20 characters: the hash of a shorter one could be searched.\n\n" + exitCodes,
		Exec: func(_ context.Context, args []string) error {
			if err := k.check(args); err != nil {
				return err
			}
			line, err := bufio.NewReader(a.In).ReadString('\n')
			if err != nil && line == "" {
				return errors.Wrap(err, "read key")
			}
			pair, err := key.Existing(strings.TrimRight(line, "\r\n"), k.organisation, k.id)
			if err != nil {
				return usagef("%v", err)
			}
			if k.asJSON {
				return a.printJSON(pair.Entry)
			}
			return a.printEntry(pair)
		},
	}
}

// printEntry prints the entry on one line, ready to be pasted into the list.
func (a *app) printEntry(pair key.Pair) error {
	return json.NewEncoder(a.Out).Encode(pair.Entry)
}
