// Package docs tests the documentation: links have targets, every page is reachable, and every log line is described.
package docs
