// Package mustardramp defines the types and interfaces that all parts of the
// proxy fleet share: identifiers, places, ranks, backends, verdicts and
// refusals, and the interfaces of the replaceable parts, such as Pool, Ejector
// and Ledger. Implementations live in subpackages.
//
// Types with integer cbor keys are exchanged between hosts or stored on disk. Their
// keys never change.
package mustardramp
