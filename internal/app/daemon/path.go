package daemon

import (
	"net/url"
	"slices"
	"strings"
)

// target is the service and resource that a caller's URL names.
type target struct {
	service string
	// path is unescaped and used to find the operation.
	path string
	// requestURI is the escaped path as the caller wrote it, with the query; it is forwarded to the upstream.
	requestURI string
}

// locate splits /service/path; false means that the path has empty or dot segments or is badly escaped. An
// upstream may resolve such segments, so that a path which matches an allowed operation would reach another one.
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

// hasUncleanSegments reports whether a path that begins with a slash has empty or dot segments; one trailing slash is allowed.
func hasUncleanSegments(path string) bool {
	inner := strings.TrimSuffix(strings.TrimPrefix(path, "/"), "/")
	if inner == "" {
		return path != "/"
	}
	return slices.ContainsFunc(strings.Split(inner, "/"), func(segment string) bool {
		return segment == "" || segment == "." || segment == ".."
	})
}
