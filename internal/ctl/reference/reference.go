package reference

import (
	"fmt"
	"strings"

	"github.com/foxtailhook/foxtailhook/internal/app/settings"
	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/ctl/explain"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Settings returns a Markdown page with every setting of the daemon, its variable, default, unit and bounds.
func Settings() string {
	var page strings.Builder
	page.WriteString("# Settings of the daemon\n\n" +
		"Each setting is a flag of `foxtailhook` and an environment variable; the flag takes precedence.\n" +
		"Durations are written as `250ms`, `5s` or `2m`. `foxctl check` finds every fault of them before a start.\n" +
		"This page is written by `make docs`.\n\n" +
		"| flag | variable | default | meaning, unit, bounds |\n| --- | --- | --- | --- |\n")
	for _, f := range settings.Flags() {
		fmt.Fprintf(&page, "| `-%s` | `%s` | %s | %s |\n", f.Name, f.Env, formatDefault(f.Default), escapeCell(f.Help))
	}
	return page.String()
}

func formatDefault(value string) string {
	if value == "" {
		return "none"
	}
	return "`" + value + "`"
}

// Reasons returns a Markdown page with every reason that a daemon gives, its meaning, and what caller and operator can do.
func Reasons() string {
	var page strings.Builder
	page.WriteString("# Outcomes and reasons\n\n" +
		"| outcome | meaning |\n| --- | --- |\n" +
		"| `" + call.Whole.String() + "` | The upstream's complete answer, with the upstream's status. |\n" +
		"| `" + call.NotRun.String() + "` | No upstream executed any part of the request. |\n" +
		"| `" + call.Unknown.String() + "` | An upstream may have executed the request. |\n\n" +
		"*Come back* says whether the same request can succeed later; the answer then names when, in `Retry-After` and `retryAfterMs`.\n" +
		"This page is written by `make docs`.\n\n" +
		"| reason | status | come back | meaning | caller | operator |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range explain.Reasons() {
		if r == call.None {
			continue
		}
		advice, _ := explain.AdviceFor(r.String())
		fmt.Fprintf(&page, "| `%s` | %d | %s | %s | %s | %s |\n",
			r, r.Status(), yesNo(r.Temporary()), escapeCell(advice.Meaning), escapeCell(advice.Caller), escapeCell(advice.Operator))
	}
	return page.String()
}

// Metrics returns a Markdown page with every metric of the daemon, its unit and tags, and what it helps to diagnose.
func Metrics() string {
	var page strings.Builder
	page.WriteString("# Metrics of the daemon\n\n" +
		"`/metrics` on the operators' port, in Prometheus' form. Each has `host` and `zone`, and the tags named here.\n" +
		"Counts begin at 0 with the process. This page is written by `make docs`.\n\n" +
		"| metric | what | unit | tags | worth a look |\n| --- | --- | --- | --- | --- |\n")
	for _, d := range telemetry.Descriptions() {
		fmt.Fprintf(&page, "| `%s_%s` | %s | %s | %s | %s |\n", telemetry.Prefix, d.Metric, escapeCell(d.Meaning), d.Unit, d.Tags, escapeCell(d.Advice))
	}
	return page.String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// escapeCell escapes the column separators in the text of a table cell.
func escapeCell(text string) string { return strings.ReplaceAll(text, "|", "\\|") }
