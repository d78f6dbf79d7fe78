// Package instance is the HTTP client for the instance on a router's host: it sends each request at
// most once and returns only a complete response that belongs to the request.
package instance
