// Package mustardramp holds the types and interfaces that all parts of the
// proxy fleet share: identifiers, places, ranks, backends, verdicts, refusals
// and the seams behind which behaviour varies. Implementations live in the
// packages below it.
package mustardramp
