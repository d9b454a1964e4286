package entry

import (
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/mustardramp/mustardramp"
)

const (
	// maxSkew bounds the difference of clocks that is allowed for.
	maxSkew = 5 * time.Minute
	// ulidLength and ulidTimeLength are numbers of characters.
	ulidLength     = 26
	ulidTimeLength = 10
	uuidLength     = 36
	uuidTimeOrder  = 7

	crockford = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
)

// firstULID is when the format was published: an earlier time means that the
// key is no ULID.
var firstULID = time.Date(2016, 1, 1, 0, 0, 0, 0, time.UTC)

// keyExpired reports whether the key carries a time for which outcomes are not
// kept, so that an earlier sending could not be found any more.
func (x *exchange) keyExpired() bool {
	return expired(string(x.key), mustardramp.TimeOfDay(x.arrived), x.contract.Keep)
}

func expired(key string, now time.Time, keep time.Duration) bool {
	skew := min(maxSkew, keep/10)
	if made, ok := uuidTime(key); ok {
		return made.After(now.Add(skew)) || now.After(made.Add(keep-skew))
	}
	if made, ok := ulidTime(key); ok && made.After(firstULID) {
		return now.After(made.Add(keep - skew))
	}
	return false
}

func uuidTime(key string) (time.Time, bool) {
	if len(key) != uuidLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidTimeOrder {
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
		digit := strings.IndexByte(crockford, key[i])
		if digit < 0 {
			return time.Time{}, false
		}
		if i < ulidTimeLength {
			ms = ms<<5 | int64(digit)
		}
	}
	return time.UnixMilli(ms), true
}
