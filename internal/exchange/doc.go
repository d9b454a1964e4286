// Package exchange spreads records among the hosts of the fleet by epidemic
// dissemination: news is pushed over a few links, and digests find what a push
// missed. Merging is monotone and commutes, so that order, repetition and the
// path of a record do not matter, and the bytes a host sends are bounded.
//
// Node is the pure core: events and times go in, decisions come out. Runner
// carries its decisions out over real links.
package exchange
