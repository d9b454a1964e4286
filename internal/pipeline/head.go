package pipeline

import (
	"bytes"
	"strconv"
)

// headKind states how a request may be handled, judged by its head.
type headKind int

const (
	// opaqueHead is a head whose end, or whose body's end, only net/http may judge.
	opaqueHead headKind = iota
	// sizedHead is a head with a body of known length, or of a method that may not
	// run beside others.
	sizedHead
	// plainHead is the head of a GET or HEAD request without a body.
	plainHead
)

// head describes the head of a request.
type head struct {
	kind headKind
	// bodyLength is the length of the body in bytes.
	bodyLength int64
	// last is true if the connection ends with the answer to the request.
	last bool
}

var headEnd = []byte("\r\n\r\n")

// parseHead judges a head that ends with an empty line. It accepts a strict subset of
// what net/http accepts, so that both agree on where the request ends: anything unusual
// is an opaqueHead.
func parseHead(p []byte) head {
	line, rest, _ := bytes.Cut(p, headEnd[:2])
	h := head{kind: requestLineKind(line)}
	seenLength, seenConnection := false, false
	for h.kind != opaqueHead {
		line, rest, _ = bytes.Cut(rest, headEnd[:2])
		if len(line) == 0 {
			break
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) || !isText(value) {
			return head{}
		}
		value = bytes.Trim(value, " \t")
		switch {
		case isName(name, "content-length"):
			length, ok := parseLength(value)
			if !ok || seenLength {
				return head{}
			}
			seenLength, h.bodyLength = true, length
		case isName(name, "connection"):
			h.last = isName(value, "close")
			if seenConnection || !h.last && !isName(value, "keep-alive") {
				return head{}
			}
			seenConnection = true
		case isName(name, "transfer-encoding"), isName(name, "upgrade"), isName(name, "expect"):
			return head{}
		}
	}
	if h.kind == plainHead && h.bodyLength > 0 {
		h.kind = sizedHead
	}
	return h
}

// requestLineKind judges a request line.
func requestLineKind(line []byte) headKind {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !isToken(method) || len(target) == 0 || !isText(target) || string(version) != "HTTP/1.1" {
		return opaqueHead
	}
	switch string(method) {
	case "GET", "HEAD":
		return plainHead
	case "CONNECT":
		return opaqueHead
	}
	return sizedHead
}

// parseLength parses a Content-Length of digits only.
func parseLength(p []byte) (int64, bool) {
	for _, b := range p {
		if b < '0' || b > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(string(p), 10, 63)
	return n, err == nil
}

// isName reports whether p equals a name in lower case, in any letter case.
func isName(p []byte, name string) bool {
	return len(p) == len(name) && bytes.EqualFold(p, []byte(name))
}

// isText reports whether p is free of control characters other than tabs. CR and LF
// are control characters.
func isText(p []byte) bool {
	for _, b := range p {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether p consists of characters that a header name may have.
func isToken(p []byte) bool {
	for _, b := range p {
		if !tokenBytes[b] {
			return false
		}
	}
	return len(p) > 0
}

var tokenBytes = func() (table [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		table[b] = true
	}
	return table
}()
