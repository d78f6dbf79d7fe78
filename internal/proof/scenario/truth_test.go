package scenario

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// truthCommands are the commands of the scenarios on the truth of answers.
func truthCommands() map[string]command {
	return map[string]command{
		"newkey": cmdNewKey, // newkey NAME: set $NAME to an idempotency key that tells its time
		"hangup": cmdHangup, // hangup DURATION NAME METHOD PATH [options as for send]: send and close the connection after a while
	}
}

func cmdNewKey(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "newkey NAME")
	ts.Setenv(args[0], uuid.Must(uuid.NewV7()).String())
}

func cmdHangup(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 4, "hangup DURATION NAME METHOD PATH ...")
	after, err := time.ParseDuration(args[0])
	ts.Check(err)
	f := fleetOf(ts)
	options := pairs(ts, args[4:])
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	url := "http://" + f.address(f.hosts[args[1]].number, callersPort).String() + args[3]
	req, err := http.NewRequestWithContext(ctx, args[2], url, strings.NewReader(options["body"]))
	ts.Check(err)
	req.Header.Set(upstream.HeaderTimeout, strconv.Itoa(5000))
	req.Header.Set("Authorization", "Bearer "+options["key"])
	for name, value := range options {
		if header, ok := strings.CutPrefix(name, "header:"); ok {
			req.Header.Set(header, value)
		}
	}
	if out, err := exchange(req); err == nil {
		ts.Fatalf("an answer came before the caller hung up: %s", out)
	}
}
