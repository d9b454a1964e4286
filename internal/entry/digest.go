package entry

import (
	"crypto/sha256"
	"crypto/sha512"
	"crypto/subtle"
	"encoding/base64"
	"hash"
	"net/http"
	"strings"
)

const digestHeader = "Content-Digest"

// digestCheck compares a body with its Content-Digest (RFC 9530).
type digestCheck struct {
	sum  hash.Hash
	want []byte
}

// newDigestCheck reads the Content-Digest header. It returns nil if the header
// has no digest of a supported algorithm.
func newDigestCheck(header http.Header) *digestCheck {
	for _, value := range header[digestHeader] {
		for member := range strings.SplitSeq(value, ",") {
			if check := parseDigest(strings.TrimSpace(member)); check != nil {
				return check
			}
		}
	}
	return nil
}

func parseDigest(member string) *digestCheck {
	name, value, _ := strings.Cut(member, "=")
	value, _, _ = strings.Cut(value, ";")
	if len(value) < 2 || value[0] != ':' || value[len(value)-1] != ':' {
		return nil
	}
	want, err := base64.StdEncoding.DecodeString(value[1 : len(value)-1])
	if err != nil {
		return nil
	}
	switch strings.ToLower(name) {
	case "sha-256":
		return &digestCheck{sum: sha256.New(), want: want}
	case "sha-512":
		return &digestCheck{sum: sha512.New(), want: want}
	default:
		return nil
	}
}

// write adds bytes of the body. A nil check ignores them.
func (c *digestCheck) write(p []byte) {
	if c != nil {
		_, _ = c.sum.Write(p)
	}
}

// matches reports whether the body written so far has the digest. A nil check
// matches any body.
func (c *digestCheck) matches() bool {
	return c == nil || subtle.ConstantTimeCompare(c.sum.Sum(nil), c.want) == 1
}
