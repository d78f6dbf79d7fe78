package daemon

import (
	"net/url"
	"slices"
	"strings"
)

// target is what a caller's path names.
type target struct {
	service string
	// path is unescaped, for finding the operation.
	path string
	// sent is as the caller wrote it, with the query, for the upstream.
	sent string
}

// locate cuts /service/path; false means that the path has empty or dot
// segments. An upstream may resolve those, so that a path that begins like an
// allowed operation ends at another.
func locate(u *url.URL) (target, bool) {
	service, rest, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), "/"), "/")
	to := target{service: service, path: "/" + rest, sent: "/" + rest}
	path, err := url.PathUnescape(to.path)
	if err != nil || unclean(path) {
		return to, false
	}
	to.path = path
	if u.RawQuery != "" {
		to.sent += "?" + u.RawQuery
	}
	return to, true
}

// unclean reports whether a path that begins with a slash has empty or dot segments, but for a slash at its end.
func unclean(path string) bool {
	inner := strings.TrimSuffix(strings.TrimPrefix(path, "/"), "/")
	if inner == "" {
		return path != "/"
	}
	return slices.ContainsFunc(strings.Split(inner, "/"), func(segment string) bool {
		return segment == "" || segment == "." || segment == ".."
	})
}
