package mustardramp

import "github.com/zeebo/errs"

// Outcome is a claim on whether something ran at a backend.
type Outcome uint8

// The outcomes. The zero value claims the least.
const (
	// MayHaveRun claims nothing: a byte of the request may have left.
	MayHaveRun Outcome = iota
	// NotRun is proven: no byte left, the dial failed, or the backend itself
	// declared that it shed the request.
	NotRun
	// Ran means that a backend answered, or that the ledger holds an answer.
	Ran
)

var outcomeNames = [...]string{"may-have-run", "not-run", "ran"}

// ErrOutcome is the class of errors for a name that is not an outcome.
var ErrOutcome = errs.Class("outcome")

// String returns the outcome's name as it stands in headers and logs.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// MarshalText encodes the outcome as its name.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// UnmarshalText decodes an outcome from its name.
func (o *Outcome) UnmarshalText(text []byte) error {
	for i, n := range outcomeNames {
		if n == string(text) {
			*o = Outcome(i)
			return nil
		}
	}
	return ErrOutcome.New("unknown outcome %q", text)
}

// Verdict says whether a request ran. The operation may have been sent before
// under the same key, so the two claims can differ.
type Verdict struct {
	// Operation is the claim about the operation, over all its sendings.
	Operation Outcome `json:"operation" cbor:"1,keyasint"`
	// Sending is the claim about this request alone. Operation is never
	// NotRun while Sending is not NotRun.
	Sending Outcome `json:"sending" cbor:"2,keyasint"`
}

// Not returns the verdict of a request that never left, of an operation
// without earlier sendings.
func Not() Verdict {
	return Verdict{Operation: NotRun, Sending: NotRun}
}

// Unsent returns the verdict of a request that never left, of an operation
// whose earlier sendings are not known.
func Unsent() Verdict {
	return Verdict{Operation: MayHaveRun, Sending: NotRun}
}

// Maybe returns the verdict of a request that may have run.
func Maybe() Verdict {
	return Verdict{}
}

// Done returns the verdict of an operation that ran.
func Done() Verdict {
	return Verdict{Operation: Ran, Sending: Ran}
}
