package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes of every command.
const (
	// ExitDone means that the command did what it was asked and found nothing amiss.
	ExitDone = 0
	// ExitFailed means that it could not do it: a file can't be read, nobody answers.
	ExitFailed = 1
	// ExitUsage means that the command line has a fault.
	ExitUsage = 2
	// ExitFound means that it did its work and found something: a fault, a concern, or no decision that matches.
	ExitFound = 3
)

const exitCodes = `EXIT CODES
  0  done, nothing amiss
  1  could not be done: a file can't be read, an address doesn't answer
  2  the command line has a fault
  3  done, and something was found: faults, concerns, or no decision that matches`

// Streams are where a command reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// errFound ends a command with ExitFound; what was found is printed by then.
var errFound = errors.New("found")

// usageError ends a command with ExitUsage.
type usageError struct{ text string }

// Error returns what is wrong with the command line.
func (u usageError) Error() string { return u.text }

func usagef(format string, args ...any) error { return usageError{text: fmt.Sprintf(format, args...)} }

// app is one run of the tool.
type app struct {
	Streams
	// help collects what the flag package says, which goes out only when it was asked for.
	help bytes.Buffer
}

// Run runs one command line, without the program's name, and returns the exit code.
func Run(ctx context.Context, args []string, s Streams) int {
	a := &app{Streams: s}
	root := &ffcli.Command{
		Name:       "foxctl",
		ShortUsage: "foxctl COMMAND [flags]",
		ShortHelp:  "Checks lists and settings, makes keys, and tells what daemons do and why.",
		LongHelp:   "foxctl COMMAND -h describes a command with its flags.\n\n" + exitCodes,
		FlagSet:    a.flags("foxctl"),
		Subcommands: []*ffcli.Command{
			a.checkCommand(), a.diffCommand(), a.keyCommand(), a.statusCommand(), a.explainCommand(), a.referenceCommand(),
		},
		Exec: noCommand("foxctl"),
	}
	if err := root.Parse(args); err != nil {
		return a.unparsed(err)
	}
	return a.code(root.Run(ctx))
}

// flags returns a flag set whose messages are kept for the end.
func (a *app) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(&a.help)
	return fs
}

func noCommand(name string) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return usagef("no command is called %q; %s -h lists them", args[0], name)
		}
		return flag.ErrHelp
	}
}

func (a *app) unparsed(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return a.code(err)
	}
	return a.code(usagef("%v", err))
}

func (a *app) code(err error) int {
	var usage usageError
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, flag.ErrHelp):
		_, _ = a.help.WriteTo(a.Out)
		return ExitDone
	case errors.Is(err, errFound):
		return ExitFound
	case errors.As(err, &usage):
		fmt.Fprintln(a.Err, "foxctl:", err)
		return ExitUsage
	default:
		fmt.Fprintln(a.Err, "foxctl:", err)
		return ExitFailed
	}
}

// asJSON prints a value as indented JSON.
func (a *app) asJSON(value any) error {
	enc := json.NewEncoder(a.Out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(value)
}

// verdict ends with ExitFound if something was found.
func verdict(found bool) error {
	if found {
		return errFound
	}
	return nil
}
