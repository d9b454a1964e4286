package mustardramp

import "context"

// Machine is a deterministic state that a group of hosts replicates. Its
// methods are called by one goroutine.
type Machine interface {
	// Apply takes in a committed command and returns its result. It reads no
	// clock and no random source: what varies stands in the command.
	Apply(index Index, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot's.
	Restore(snapshot []byte) error
}

// Log is a replicated log before a Machine.
type Log interface {
	// Propose commits a command by a quorum and returns what Apply returned.
	// After an error the command may still be committed later.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Confirm returns when a quorum has confirmed that this member is
	// up to date, so that its state may be read.
	Confirm(ctx context.Context) error
}
