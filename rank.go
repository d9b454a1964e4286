package mustardramp

import "github.com/zeebo/errs"

// Rank is the priority of a request. A lower rank is more valuable.
type Rank uint8

// The ranks, most valuable first.
const (
	// Urgent is the most valuable rank.
	Urgent Rank = iota
	// Normal is the default rank of a contract's routes.
	Normal
	// Bulk is the least valuable rank.
	Bulk
	// RankCount is the number of ranks and the length of arrays indexed by Rank.
	RankCount
)

var rankNames = [RankCount]string{"urgent", "normal", "bulk"}

// ErrRank is the error class for names that are not a Rank.
var ErrRank = errs.Class("rank")

// Ranks returns all ranks, most valuable first.
func Ranks() [RankCount]Rank {
	return [RankCount]Rank{Urgent, Normal, Bulk}
}

// ParseRank returns the rank with a name, such as "urgent". The error has class
// ErrRank.
func ParseRank(name string) (Rank, error) {
	for i, n := range rankNames {
		if n == name {
			return Rank(i), nil
		}
	}
	return 0, ErrRank.New("unknown rank %q: use urgent, normal or bulk", name)
}

// String returns the name of the rank, such as "urgent", or "unknown".
func (r Rank) String() string {
	if r < RankCount {
		return rankNames[r]
	}
	return "unknown"
}

// MarshalText encodes the rank as its name. It implements
// encoding.TextMarshaler.
func (r Rank) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText decodes a rank from its name. It implements
// encoding.TextUnmarshaler; the error has class ErrRank.
func (r *Rank) UnmarshalText(text []byte) error {
	rank, err := ParseRank(string(text))
	if err != nil {
		return err
	}
	*r = rank
	return nil
}
