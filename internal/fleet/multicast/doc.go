// Package multicast divides the receivers of a message so that it reaches many hosts in few hops, without a tree that all must know alike: each
// message names the hosts to which its receiver passes it on.
package multicast
