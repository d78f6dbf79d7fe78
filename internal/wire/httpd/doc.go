// Package httpd is an HTTP server on nbhttp that cancels a request's context when its caller disconnects.
package httpd
