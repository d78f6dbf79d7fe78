package program

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Run runs the command that the process's arguments name, cancels its context on
// SIGTERM or SIGINT, and returns the exit code: 0, or 1 after an error.
func Run(name, help string, commands ...*ffcli.Command) int {
	names := make([]string, len(commands))
	for i, c := range commands {
		names[i] = c.Name
	}
	root := &ffcli.Command{
		Name:        name,
		ShortUsage:  fmt.Sprintf("%s %s [flags]", name, strings.Join(names, "|")),
		ShortHelp:   help,
		Subcommands: commands,
		Exec:        noCommand,
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := root.ParseAndRun(ctx, os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return 1
	}
	return 0
}

// noCommand runs if the first argument names none of the commands.
func noCommand(_ context.Context, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("no command is called %q", args[0])
	}
	return flag.ErrHelp
}
