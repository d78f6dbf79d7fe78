// Package httpd serves HTTP on nbhttp and ends a request's context when its caller hangs up.
package httpd
