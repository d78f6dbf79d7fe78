// Package offers decides which instances the attempts of one request may be sent to. Package choice then picks one of
// them.
package offers
