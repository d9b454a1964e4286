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

// expectation is a digest of RFC 9530 that a body must have.
type expectation struct {
	sum  hash.Hash
	want []byte
}

// expectDigest reads the Content-Digest header. It returns nil when there is
// none of a known algorithm.
func expectDigest(header http.Header) *expectation {
	for _, value := range header[digestHeader] {
		for member := range strings.SplitSeq(value, ",") {
			if e := parseDigest(strings.TrimSpace(member)); e != nil {
				return e
			}
		}
	}
	return nil
}

func parseDigest(member string) *expectation {
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
		return &expectation{sum: sha256.New(), want: want}
	case "sha-512":
		return &expectation{sum: sha512.New(), want: want}
	default:
		return nil
	}
}

// write adds bytes of the body. A nil expectation takes anything.
func (e *expectation) write(p []byte) {
	if e != nil {
		_, _ = e.sum.Write(p)
	}
}

// met reports whether the body written so far has the digest.
func (e *expectation) met() bool {
	return e == nil || subtle.ConstantTimeCompare(e.sum.Sum(nil), e.want) == 1
}
