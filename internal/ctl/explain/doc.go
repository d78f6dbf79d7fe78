// Package explain finds decisions in the daemons' JSON logs and describes each in a sentence, with its reason.
package explain
