package entry

import "github.com/mustardramp/mustardramp"

// mayHaveRun takes in that a byte of the request may have left.
func (x *exchange) mayHaveRun() {
	if x.verdict.Sending == mustardramp.NotRun {
		x.verdict.Sending = mustardramp.MayHaveRun
	}
	if x.verdict.Operation == mustardramp.NotRun {
		x.verdict.Operation = mustardramp.MayHaveRun
	}
}

// ran takes in that a backend answered.
func (x *exchange) ran() {
	x.verdict = mustardramp.Done()
}
