package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/foxtailhook/foxtailhook/internal/ctl/reference"
)

func (a *app) referenceCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "reference", FlagSet: a.flags("foxctl reference"),
		ShortUsage: "foxctl reference settings|reasons|metrics",
		ShortHelp:  "Prints every setting of the daemon, every reason that it gives, or every metric.",
		LongHelp:   "Prints a table in Markdown: the daemon's settings with default, unit and bounds, the reasons of its answers, or its metrics.\n\n" + exitCodes,
		Exec: func(_ context.Context, args []string) error {
			pages := map[string]func() string{"settings": reference.Settings, "reasons": reference.Reasons, "metrics": reference.Metrics}
			if len(args) != 1 || pages[args[0]] == nil {
				return usagef("name one of settings, reasons and metrics")
			}
			fmt.Fprint(a.Out, pages[args[0]]())
			return nil
		},
	}
}
