package entry

import "github.com/mustardramp/mustardramp"

// markMayHaveRun records that a byte of the request may have been sent.
func (x *exchange) markMayHaveRun() {
	if x.verdict.Sending == mustardramp.NotRun {
		x.verdict.Sending = mustardramp.MayHaveRun
	}
	if x.verdict.Operation == mustardramp.NotRun {
		x.verdict.Operation = mustardramp.MayHaveRun
	}
}

// markRan records that a backend responded.
func (x *exchange) markRan() {
	x.verdict = mustardramp.VerdictRan()
}
