package mustardramp

import "github.com/zeebo/errs"

// Outcome states whether a request or an operation ran at a backend.
type Outcome uint8

// The outcomes. The zero value makes the weakest statement.
const (
	// MayHaveRun means that nothing is known: a byte of the request may have been
	// sent.
	MayHaveRun Outcome = iota
	// NotRun means that the request provably did not run: no byte was sent, the
	// connection attempt failed, or the backend declared that it shed the request.
	NotRun
	// Ran means that a backend answered, or that the ledger has an answer.
	Ran
)

var outcomeNames = [...]string{"may-have-run", "not-run", "ran"}

// ErrOutcome is the error class for names that are not an Outcome.
var ErrOutcome = errs.Class("outcome")

// String returns the name of the outcome as used in headers and logs, such as
// "not-run", or "unknown".
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// MarshalText encodes the outcome as its name. It implements
// encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// UnmarshalText decodes an outcome from its name. It implements
// encoding.TextUnmarshaler; the error has class ErrOutcome.
func (o *Outcome) UnmarshalText(text []byte) error {
	for i, n := range outcomeNames {
		if n == string(text) {
			*o = Outcome(i)
			return nil
		}
	}
	return ErrOutcome.New("unknown outcome %q", text)
}

// Verdict states whether a request ran. Its two outcomes can differ if earlier requests
// carried the same operation under the same key.
type Verdict struct {
	// Operation is the outcome of the operation over all requests that carried
	// it.
	Operation Outcome `json:"operation" cbor:"1,keyasint"`
	// Sending is the outcome of this request alone. Operation is NotRun only if
	// Sending is NotRun too.
	Sending Outcome `json:"sending" cbor:"2,keyasint"`
}

// VerdictNotRun returns the verdict of a request that was not sent to a backend,
// for an operation without earlier requests.
func VerdictNotRun() Verdict {
	return Verdict{Operation: NotRun, Sending: NotRun}
}

// VerdictUnsent returns the verdict of a request that was not sent to a backend,
// for an operation that earlier requests may have carried.
func VerdictUnsent() Verdict {
	return Verdict{Operation: MayHaveRun, Sending: NotRun}
}

// VerdictMayHaveRun returns the verdict of a request that may have run at a backend.
func VerdictMayHaveRun() Verdict {
	return Verdict{}
}

// VerdictRan returns the verdict of an operation that ran by means of this request.
func VerdictRan() Verdict {
	return Verdict{Operation: Ran, Sending: Ran}
}
