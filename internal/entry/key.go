package entry

import (
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/mustardramp/mustardramp"
)

const (
	// maxClockSkew is the largest difference between clocks that is allowed
	// for.
	maxClockSkew = 5 * time.Minute
	// ulidLength, ulidTimeLength and uuidLength are in characters.
	ulidLength      = 26
	ulidTimeLength  = 10
	uuidLength      = 36
	uuidTimeVersion = 7

	crockfordAlphabet = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
)

// earliestULID is when the ULID format was published. A key with an earlier
// time is not a ULID.
var earliestULID = time.Date(2016, 1, 1, 0, 0, 0, 0, time.UTC)

// hasExpiredKey reports whether the key contains a time for which outcomes are
// not kept, so that an earlier sending could not be found.
func (x *exchange) hasExpiredKey() bool {
	return isKeyExpired(string(x.key), mustardramp.TimeOfDay(x.arrived), x.contract.Keep)
}

func isKeyExpired(key string, now time.Time, keep time.Duration) bool {
	skew := min(maxClockSkew, keep/10)
	if created, ok := uuidTime(key); ok {
		return created.After(now.Add(skew)) || now.After(created.Add(keep-skew))
	}
	if created, ok := ulidTime(key); ok && created.After(earliestULID) {
		return now.After(created.Add(keep - skew))
	}
	return false
}

func uuidTime(key string) (time.Time, bool) {
	if len(key) != uuidLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidTimeVersion {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

func ulidTime(key string) (time.Time, bool) {
	if len(key) != ulidLength || key[0] > '7' {
		return time.Time{}, false
	}
	key = strings.ToUpper(key)
	var ms int64
	for i := range len(key) {
		digit := strings.IndexByte(crockfordAlphabet, key[i])
		if digit < 0 {
			return time.Time{}, false
		}
		if i < ulidTimeLength {
			ms = ms<<5 | int64(digit)
		}
	}
	return time.UnixMilli(ms), true
}
