// Package crash detects crashes of the instance beside a daemon, and tells the daemons beside other instances what was at work, so that content which
// crashes instances is refused by all of them; package quarantine decides what is refused.
package crash
