package admin

import (
	"bytes"

	"github.com/mustardramp/mustardramp"
)

// Advice returns a sentence that says what the caller may safely do after a
// refusal.
func Advice(r mustardramp.Refusal) string {
	if advice, ok := kindAdvice[r.Kind]; ok {
		return advice
	}
	switch {
	case r.Verdict.Operation == mustardramp.Ran:
		return "Do not send it again: it ran."
	case r.Verdict.Operation == mustardramp.NotRun:
		return "Send it again" + afterDelay(r) + ": nothing ran."
	case r.Idempotent:
		return "Send it again" + afterDelay(r) + ": the contract says that the request may be repeated."
	case r.Key != "":
		return "Send it again with the same key" + afterDelay(r) + ": it runs at most once."
	default:
		return "Look at the service whether it ran before sending it again: without a key a second sending is a second operation."
	}
}

// kindAdvice holds the advice for the kinds of refusals whose advice does not
// depend on the verdict.
var kindAdvice = map[mustardramp.RefusalKind]string{
	mustardramp.KindMalformed:       "Mend the request: as it stands it is always refused. Nothing ran.",
	mustardramp.KindTooLarge:        "Send fewer or shorter headers. Nothing ran.",
	mustardramp.KindNoService:       "Check the Host header: no contract in force names it. Nothing ran.",
	mustardramp.KindNoRoute:         "Check method and path against the contract. Nothing ran.",
	mustardramp.KindKeyMissing:      "Add the key header that the route requires. Nothing ran.",
	mustardramp.KindKeyMismatch:     "Take a new key for a new operation: this key belongs to another request.",
	mustardramp.KindKeyExpired:      "Look at the service whether it ran: the key is older than the time for which keys are kept.",
	mustardramp.KindUnsettled:       "Look at the service whether it ran, and have an operator settle the key with 'ledger settle'.",
	mustardramp.KindInFlight:        "Send it again with the same key: the first sending is still under way.",
	mustardramp.KindUnauthorized:    "Send it with a key that a workspace has now: with any other key, and without one, it is refused.",
	mustardramp.KindAnswerNotStored: "Do not send it again: it ran. Read the result from the service.",
}

// afterDelay returns " after" and the time to wait before a retry, or an empty
// string if there is none.
func afterDelay(r mustardramp.Refusal) string {
	if r.RetryAfter <= 0 {
		return ""
	}
	return " after " + r.RetryAfter.String()
}

// lineOf returns a line of a text, counted from 1, or an empty string if the text
// has no such line.
func lineOf(source []byte, line int) string {
	lines := bytes.Split(source, []byte("\n"))
	if line < 1 || line > len(lines) {
		return ""
	}
	return string(lines[line-1])
}
