// Package offers decides which instances the attempts of one request may be sent to.
package offers
