// Package daemon runs one foxtailhook process: it connects admission control, load balancing, rate limits and
// membership to the network, on the host of each upstream.
package daemon
