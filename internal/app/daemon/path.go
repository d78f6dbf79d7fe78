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
	// requestURI is as the caller wrote it, with the query, for the upstream.
	requestURI string
}

// locate cuts /service/path; false means that the path has empty or dot
// segments. An upstream may resolve those, so that a path that begins like an
// allowed operation ends at another.
func locate(u *url.URL) (target, bool) {
	service, rest, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), "/"), "/")
	dest := target{service: service, path: "/" + rest, requestURI: "/" + rest}
	path, err := url.PathUnescape(dest.path)
	if err != nil || hasUncleanSegments(path) {
		return dest, false
	}
	dest.path = path
	if u.RawQuery != "" {
		dest.requestURI += "?" + u.RawQuery
	}
	return dest, true
}

// hasUncleanSegments reports whether a path that begins with a slash has empty or dot segments, but for a slash at its end.
func hasUncleanSegments(path string) bool {
	inner := strings.TrimSuffix(strings.TrimPrefix(path, "/"), "/")
	if inner == "" {
		return path != "/"
	}
	return slices.ContainsFunc(strings.Split(inner, "/"), func(segment string) bool {
		return segment == "" || segment == "." || segment == ".."
	})
}
