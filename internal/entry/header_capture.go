package entry

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
)

// headerCapture keeps the raw header of a response: net/http drops a Connection
// header that contains "close", and with it the names of headers that must not
// be forwarded.
type headerCapture struct {
	// raw starts with the status line. Once complete, it ends with the header.
	raw []byte
	// scanned is the length of the part of raw that holds no end of a header.
	scanned  int
	complete bool
}

func (h *headerCapture) reset() {
	h.raw = h.raw[:0]
	h.scanned = 0
	h.complete = false
}

// write adds received bytes. It discards the headers of informational
// responses.
func (h *headerCapture) write(p []byte) {
	if h.complete {
		return
	}
	h.raw = append(h.raw, p...)
	for {
		end := h.headerEnd()
		if end < 0 {
			h.scanned = len(h.raw)
			return
		}
		h.scanned = 0
		if !h.isInformational() {
			h.raw = h.raw[:end]
			h.complete = true
			return
		}
		h.raw = h.raw[:copy(h.raw, h.raw[end:])]
	}
}

// headerEnd returns the length of the header at the start of raw, or -1 if it
// is not complete.
func (h *headerCapture) headerEnd() int {
	for at := max(0, h.scanned-2); ; {
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

// isInformational reports whether raw starts with an informational response,
// which another response follows.
func (h *headerCapture) isInformational() bool {
	_, status, _ := bytes.Cut(h.raw, []byte(" "))
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
}

// connectionHeader returns the values of the Connection header.
func (h *headerCapture) connectionHeader() []string {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(h.raw)))
	if _, err := reader.ReadLine(); err != nil {
		return nil
	}
	header, _ := reader.ReadMIMEHeader()
	return header["Connection"]
}

// restoreConnectionHeader restores a Connection header that net/http dropped.
func (a *attempt) restoreConnectionHeader(response *http.Response) {
	if !response.Close || a.conn == nil || response.Header["Connection"] != nil {
		return
	}
	if values := a.conn.connectionHeader(); values != nil {
		response.Header["Connection"] = values
	}
}
