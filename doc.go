// Package foxtailhook embeds the overload control layer: a daemon beside one
// upstream that admits, queues, places and refuses its requests.
//
// New takes options, Run serves until its context ends. The coordination parts
// work without the daemon too, each in a package of its own below parts.
//
// Letter 1 asks for a library that others can embed, which goes before the
// house rule that packages live under internal/.
package foxtailhook
