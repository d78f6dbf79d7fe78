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
	// ExitDone means that the command succeeded and found nothing wrong.
	ExitDone = 0
	// ExitFailed means that the command failed: a file can't be read, or an address doesn't answer.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitFound means that the command succeeded and found a fault or a concern, or no decision that matches.
	ExitFound = 3
)

const exitCodes = `EXIT CODES
  0  done, nothing amiss
  1  could not be done: a file can't be read, an address doesn't answer
  2  the command line has a fault
  3  done, and something was found: faults, concerns, or no decision that matches`

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// errFound makes a command exit with ExitFound; the findings have been printed already.
var errFound = errors.New("found")

// usageError makes a command exit with ExitUsage.
type usageError struct{ text string }

// Error returns what is wrong with the command line.
func (u usageError) Error() string { return u.text }

func usagef(format string, args ...any) error { return usageError{text: fmt.Sprintf(format, args...)} }

// app is one run of foxctl.
type app struct {
	Streams
	// flagOutput collects the output of the flag package; it is printed only if help was requested.
	flagOutput bytes.Buffer
}

// Run runs a command line, which doesn't include the program's name, and returns the exit code.
func Run(ctx context.Context, args []string, s Streams) int {
	a := &app{Streams: s}
	root := &ffcli.Command{
		Name:       "foxctl",
		ShortUsage: "foxctl COMMAND [flags]",
		ShortHelp:  "Checks lists and settings, makes keys, and tells what daemons do and why.",
		LongHelp:   "foxctl COMMAND -h describes a command with its flags.\n\n" + exitCodes,
		FlagSet:    a.flags("foxctl"),
		Subcommands: []*ffcli.Command{
			a.checkCommand(), a.diffCommand(), a.keyCommand(), a.statusCommand(), a.explainCommand(), a.capacityCommand(), a.referenceCommand(),
		},
		Exec: requireSubcommand("foxctl"),
	}
	if err := root.Parse(args); err != nil {
		return a.parseErrorCode(err)
	}
	return a.exitCode(root.Run(ctx))
}

// flags returns a flag set that writes its messages to flagOutput.
func (a *app) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(&a.flagOutput)
	return fs
}

func requireSubcommand(name string) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return usagef("no command is called %q; %s -h lists them", args[0], name)
		}
		return flag.ErrHelp
	}
}

func (a *app) parseErrorCode(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return a.exitCode(err)
	}
	return a.exitCode(usagef("%v", err))
}

func (a *app) exitCode(err error) int {
	var usage usageError
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, flag.ErrHelp):
		_, _ = a.flagOutput.WriteTo(a.Out)
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

// printJSON prints a value as indented JSON.
func (a *app) printJSON(value any) error {
	enc := json.NewEncoder(a.Out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(value)
}

// foundError returns errFound if something was found.
func foundError(found bool) error {
	if found {
		return errFound
	}
	return nil
}
