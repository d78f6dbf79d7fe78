// Package explain finds decisions in the daemons' JSON logs and says in a sentence what was decided and why.
package explain
