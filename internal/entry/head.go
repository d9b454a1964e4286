package entry

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
)

// head keeps the raw header of an answer: net/http drops a Connection header
// that holds "close", and with it the names of headers that must not pass.
type head struct {
	// raw starts with the status line, and ends with the header once whole.
	raw []byte
	// seen is the length of raw in which no end was found.
	seen  int
	whole bool
}

func (h *head) reset() {
	h.raw = h.raw[:0]
	h.seen = 0
	h.whole = false
}

// take adds received bytes. Informational answers are passed over.
func (h *head) take(p []byte) {
	if h.whole {
		return
	}
	h.raw = append(h.raw, p...)
	for {
		end := h.end()
		if end < 0 {
			h.seen = len(h.raw)
			return
		}
		h.seen = 0
		if !h.informational() {
			h.raw = h.raw[:end]
			h.whole = true
			return
		}
		h.raw = h.raw[:copy(h.raw, h.raw[end:])]
	}
}

// end returns the length of the header at the start of raw, or -1.
func (h *head) end() int {
	for at := max(0, h.seen-2); ; {
		i := bytes.IndexByte(h.raw[at:], '\n')
		if i < 0 {
			return -1
		}
		at += i + 1
		rest := h.raw[at:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + 2
		}
	}
}

// informational reports whether raw starts with an answer that another follows.
func (h *head) informational() bool {
	_, status, _ := bytes.Cut(h.raw, []byte(" "))
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
}

// connection returns the values of the Connection header.
func (h *head) connection() []string {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(h.raw)))
	if _, err := reader.ReadLine(); err != nil {
		return nil
	}
	header, _ := reader.ReadMIMEHeader()
	return header["Connection"]
}

// restoreConnection puts a Connection header back that net/http has dropped.
func (a *attempt) restoreConnection(response *http.Response) {
	if !response.Close || a.wire == nil || response.Header["Connection"] != nil {
		return
	}
	if values := a.wire.connection(); values != nil {
		response.Header["Connection"] = values
	}
}
