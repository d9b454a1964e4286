package callerlimit

// lineState is the state of a line that is not complete.
type lineState uint8

const (
	// lineEmpty means that the line has no byte yet.
	lineEmpty lineState = iota
	// lineReturn means that the line is a single carriage return.
	lineReturn
	// lineFilled means that the line has content.
	lineFilled
)

// next returns the state after a byte, and whether the byte ends an empty line. Like
// net/http it accepts a line feed with or without a carriage return before it.
func (s lineState) next(b byte) (state lineState, endsEmpty bool) {
	switch {
	case b == '\n':
		return lineEmpty, s != lineFilled
	case b == '\r' && s == lineEmpty:
		return lineReturn, false
	default:
		return lineFilled, false
	}
}

// Head counts the bytes and lines of a request head as they arrive. The zero value
// awaits the first byte of a head.
type Head struct {
	// Size and Lines count the head. Each further name in a Trailer line counts as a line:
	// net/http keeps it as a map entry too.
	Size, Lines int
	// Blank counts the bytes of empty lines before the head, which are not part of it.
	Blank int

	line lineState
	// names finds the Trailer lines.
	names trailerNames
}

// Started reports whether a byte of the head, or of an empty line before it, has
// arrived.
func (h *Head) Started() bool {
	return h.Size > 0 || h.Blank > 0
}

// Scan counts the start of p that belongs to the head. p[:skipped] holds empty lines
// before the head, p[skipped:end] a part of the head. complete is true if the head
// ends at end.
func (h *Head) Scan(p []byte) (skipped, end int, complete bool) {
	if h.Size == 0 {
		for skipped < len(p) && (p[skipped] == '\r' || p[skipped] == '\n') {
			skipped++
		}
		h.Blank += skipped
	}
	for i, b := range p[skipped:] {
		var endsEmpty bool
		h.line, endsEmpty = h.line.next(b)
		h.Size++
		if b == '\n' || h.names.separates(b) {
			h.Lines++
		}
		h.names.next(b)
		if endsEmpty {
			return skipped, skipped + i + 1, true
		}
	}
	return skipped, len(p), false
}

// trailerPrefix starts a line that lists the names of trailers, in any letter case.
const trailerPrefix = "trailer:"

// trailerNames follows the lines of a head and finds those that list names of trailers.
// The zero value is at the start of a line.
type trailerNames struct {
	// matched is the length of the start of trailerPrefix that the line begins with, or
	// -1 if the line differs.
	matched int8
	// inList is true if the line, or the one that it continues, has trailerPrefix.
	inList bool
}

// separates reports whether the next byte separates two names of trailers.
func (t *trailerNames) separates(b byte) bool {
	return b == ',' && t.inList
}

// next goes on by a byte.
func (t *trailerNames) next(b byte) {
	switch {
	case b == '\n':
		t.matched = 0
	case t.matched < 0:
	case t.matched == 0 && (b == ' ' || b == '\t'):
		// The line continues the one before.
		t.matched = -1
	case b != trailerPrefix[t.matched] && b|0x20 != trailerPrefix[t.matched]:
		t.matched, t.inList = -1, false
	default:
		t.matched++
		t.inList = int(t.matched) == len(trailerPrefix)
		if t.inList {
			t.matched = -1
		}
	}
}

// chunkPart is a part of a chunked body.
type chunkPart uint8

const (
	chunkSize chunkPart = iota
	chunkExtension
	chunkData
	chunkDataEnd
	chunkTrailer
)

// maxChunkDigits bounds the size of a chunk to what fits an int64.
const maxChunkDigits = 15

// Body finds the end of a request body. The zero value is complete.
type Body struct {
	// remaining is the number of bytes left of the body or of the current chunk.
	remaining int64
	chunked   bool
	part      chunkPart
	digits    int
	line      lineState
}

// NewBody returns the state at the start of a body of a length, or of a chunked body
// if the length is negative.
func NewBody(length int64) Body {
	if length < 0 {
		return Body{chunked: true}
	}
	return Body{remaining: length}
}

// Complete reports whether the body has ended.
func (b *Body) Complete() bool {
	return !b.chunked && b.remaining == 0
}

// Scan returns how much of the start of p belongs to the body. It returns false if
// the body is malformed, so that its end cannot be found.
func (b *Body) Scan(p []byte) (n int, ok bool) {
	for n < len(p) && !b.Complete() {
		if !b.chunked || b.part == chunkData {
			skip := min(b.remaining, int64(len(p)-n))
			b.remaining -= skip
			n += int(skip)
			if b.chunked && b.remaining == 0 {
				b.part, b.line = chunkDataEnd, lineEmpty
			}
			continue
		}
		if !b.scanFraming(p[n]) {
			return n, false
		}
		n++
	}
	return n, true
}

// scanFraming handles a byte outside the data of a chunk.
func (b *Body) scanFraming(c byte) bool {
	var endsEmpty bool
	b.line, endsEmpty = b.line.next(c)
	switch b.part {
	case chunkSize:
		digit, ok := hexDigit(c)
		if !ok {
			b.part = chunkExtension
			return b.digits > 0 && b.endSizeLine(c)
		}
		b.remaining = b.remaining<<4 | digit
		b.digits++
		return b.digits <= maxChunkDigits
	case chunkExtension:
		return b.endSizeLine(c)
	case chunkDataEnd:
		if endsEmpty {
			b.part, b.digits, b.remaining = chunkSize, 0, 0
		}
		return b.line != lineFilled
	case chunkTrailer:
		if endsEmpty {
			*b = Body{}
		}
	}
	return true
}

// endSizeLine goes on to the data, or to the trailer after the last chunk, if c ends
// the line.
func (b *Body) endSizeLine(c byte) bool {
	if c == '\n' {
		b.part = chunkData
		if b.remaining == 0 {
			b.part = chunkTrailer
		}
	}
	return true
}

func hexDigit(c byte) (int64, bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}
