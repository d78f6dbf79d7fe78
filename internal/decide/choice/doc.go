// Package choice picks the instance that a request is sent to, from what the
// hosts beside instances say of them and from how requests ended there.
package choice
