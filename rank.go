package mustardramp

import "github.com/zeebo/errs"

// Rank orders kinds of work by their value. A lower number is more valuable.
type Rank uint8

// The ranks, most valuable first.
const (
	Urgent Rank = iota
	Normal
	Bulk
	// RankCount is the number of ranks; arrays by rank have this length.
	RankCount
)

var rankNames = [RankCount]string{"urgent", "normal", "bulk"}

// ErrRank is the class of errors for a name that is not a rank.
var ErrRank = errs.Class("rank")

// Ranks lists the ranks, most valuable first.
func Ranks() [RankCount]Rank {
	return [RankCount]Rank{Urgent, Normal, Bulk}
}

// ParseRank returns the rank of a name, or an error of class ErrRank.
func ParseRank(name string) (Rank, error) {
	for i, n := range rankNames {
		if n == name {
			return Rank(i), nil
		}
	}
	return 0, ErrRank.New("unknown rank %q: use urgent, normal or bulk", name)
}

// String returns the rank's name.
func (r Rank) String() string {
	if r < RankCount {
		return rankNames[r]
	}
	return "unknown"
}

// MarshalText encodes the rank as its name.
func (r Rank) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText decodes a rank from its name.
func (r *Rank) UnmarshalText(text []byte) error {
	rank, err := ParseRank(string(text))
	if err != nil {
		return err
	}
	*r = rank
	return nil
}
