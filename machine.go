package mustardramp

import "context"

// StateMachine is a deterministic state machine that a group of hosts replicates. Its
// methods are called by one goroutine.
type StateMachine interface {
	// Apply applies the committed command at a log index and returns its result.
	// It must not read a clock or a random source; commands carry such values.
	Apply(index Index, command []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// Log is a replicated log whose committed commands are applied to a StateMachine.
type Log interface {
	// Propose waits until a quorum has committed the command and returns the
	// result of Apply. After an error the command may still be committed later.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Confirm waits until a quorum has confirmed that this member is up to date,
	// so that a read of its state is linearizable.
	Confirm(ctx context.Context) error
}
