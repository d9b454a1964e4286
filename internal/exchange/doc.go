// Package exchange spreads records among the hosts of the fleet by epidemic
// dissemination: a host pushes new records over a few links, and comparing
// digests finds what a push missed. Merging is monotone and commutative, so the
// order, repetition and path of a record do not matter. The bytes that a host
// sends are bounded.
//
// Node and Core are pure state machines: events and times go in, requests come
// out. Exchange carries the requests out over real links.
package exchange
