package entry

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp/internal/callerconn"
)

const (
	// maxUploadBytes is how much of one upload the host holds.
	maxUploadBytes = 1 << 20
	// uploadBlockBytes is the size of the blocks that hold it.
	uploadBlockBytes = 16 << 10
	// uploadWindowBytes is how much it holds of a body that cannot be sent again.
	uploadWindowBytes = 4 * uploadBlockBytes
	// uploadRoomInterval is the interval at which an upload that found no memory looks for
	// some again.
	uploadRoomInterval = 20 * time.Millisecond
	// maxUnwatchedTime is how long an upload may wait for a backend while nothing more of it
	// can be read for lack of memory: what the caller does then is not seen.
	maxUnwatchedTime = 250 * time.Millisecond
	// continueTime is the time after which a caller that asks before it sends its body is
	// told to send it, although no backend has answered.
	continueTime = time.Second
)

// upload is a request body that is forwarded while it arrives. One goroutine reads it from
// the caller, ahead of the attempts as far as there is memory. Each attempt reads it through
// an uploadReader of its own, from the start of the body, for as long as the upload holds
// that.
type upload struct {
	handler *Handler
	request *http.Request
	// source is read by receive alone.
	source *callerBody
	// fail is called with the reason if the request cannot be served: the caller did not
	// send the whole body, or the host has no memory for it.
	fail context.CancelCauseFunc

	group errgroup.Group
	mu    sync.Mutex
	// changed is signaled after each change that receive or a reader may wait for.
	changed sync.Cond
	// blocks hold the bytes from the offset first to the offset end. All but the last have
	// the capacity uploadBlockBytes and are full.
	blocks     [][]byte
	first, end int64
	// reserved is the sum of the capacities of blocks.
	reserved int64
	// trailer holds the announced trailers without values until the body has ended.
	trailer http.Header
	// err is io.EOF once the body has been read to its end, and another error if the
	// caller did not send it whole.
	err error
	// reader is that of the attempt in progress, or nil.
	reader *uploadReader
	// isStarted is true once receive runs.
	isStarted bool
	// unwatchedSince is when an upload without an attempt found no memory, or zero.
	unwatchedSince time.Time
	// isLast is true if no attempt follows the one in progress, so that what it has read
	// need not be kept.
	isLast bool
	// isOver is true once the response is written. What still arrives is counted in
	// discarded and not held.
	isOver    bool
	discarded int
}

// start starts to read from the caller unless that has started.
func (u *upload) start() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.startLocked()
}

// startLocked is start for a caller that holds mu.
func (u *upload) startLocked() {
	if !u.isStarted && !u.isOver {
		u.isStarted = true
		u.group.Go(u.receive)
	}
}

// receive reads the body from the caller until it ends or the upload is over.
func (u *upload) receive() error {
	for {
		p := u.awaitRoom()
		if p == nil {
			return nil
		}
		n, err := u.source.Read(p)
		if !u.add(n, err) {
			return nil
		}
	}
}

// add notes the result of a read into the room that awaitRoom has returned. It reports
// whether more is to be read.
func (u *upload) add(n int, err error) bool {
	if err != nil && !errors.Is(err, io.EOF) {
		defer u.fail(err)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	defer u.changed.Broadcast()
	if u.isOver {
		u.discarded += n
	} else {
		last := &u.blocks[len(u.blocks)-1]
		*last = (*last)[:len(*last)+n]
		u.end += int64(n)
	}
	switch {
	case err == nil:
		return true
	case errors.Is(err, io.EOF):
		u.err, u.trailer = io.EOF, u.request.Trailer
	default:
		u.err = err
	}
	return false
}

// awaitRoom waits for memory for further bytes and returns it, or nil if no more are to
// be read.
func (u *upload) awaitRoom() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	for {
		if u.isOver {
			return u.roomToDiscard()
		}
		if n := len(u.blocks); n > 0 && len(u.blocks[n-1]) < cap(u.blocks[n-1]) {
			last := u.blocks[n-1]
			return last[len(last):cap(last)]
		}
		if u.addBlock() {
			u.unwatchedSince = time.Time{}
			continue
		}
		u.checkUnwatched()
		u.wait()
	}
}

// checkUnwatched fails the upload if it has waited for a backend and for memory for too
// long. An upload of which as much is held as may be is left to callerWatch.
func (u *upload) checkUnwatched() {
	now := time.Now()
	switch {
	case u.reader != nil || u.reserved+uploadBlockBytes > maxUploadBytes:
		u.unwatchedSince = time.Time{}
	case u.unwatchedSince.IsZero():
		u.unwatchedSince = now
	case now.Sub(u.unwatchedSince) >= maxUnwatchedTime:
		u.fail(errNoBodyMemory)
	}
}

// roomToDiscard returns a buffer for bytes that are not held, or nil if enough were read.
func (u *upload) roomToDiscard() []byte {
	if u.discarded >= callerconn.LingerBytes {
		return nil
	}
	return make([]byte, uploadBlockBytes)
}

// wait waits for a change, or for the time after which there may be memory again.
func (u *upload) wait() {
	timer := time.AfterFunc(uploadRoomInterval, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.changed.Broadcast()
	})
	u.changed.Wait()
	timer.Stop()
}

// addBlock adds an empty block and reports whether there was memory for it. The first
// block of an attempt in progress needs none: without it the attempt would stand still.
func (u *upload) addBlock() bool {
	limit := int64(maxUploadBytes)
	if u.isForwardOnly() {
		if u.reuseBlock() {
			return true
		}
		limit = uploadWindowBytes
	}
	size := int64(uploadBlockBytes)
	if length := u.request.ContentLength; length >= 0 {
		// The last byte of a body of known length usually comes with its end.
		size = max(1, min(size, length-u.end))
	}
	total := u.reserved + size
	switch {
	case total <= limit && u.handler.reserveBody(size, total):
	case u.reuseBlock():
		return true
	case u.reader != nil && len(u.blocks) == 0:
		u.handler.holdBody(size)
	default:
		return false
	}
	u.reserved = total
	u.blocks = append(u.blocks, make([]byte, 0, size))
	return true
}

// reuseBlock makes the first block the last one if the attempt in progress has read it.
// The body can then not be sent again.
func (u *upload) reuseBlock() bool {
	if u.reader == nil || len(u.blocks) == 0 || u.reader.offset < u.first+int64(len(u.blocks[0])) {
		return false
	}
	block := u.blocks[0]
	u.first += int64(len(block))
	u.blocks = append(u.blocks[1:], block[:0])
	return true
}

// canReplay reports whether the upload holds the body from its start.
func (u *upload) canReplay() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.first == 0 && !u.isOver
}

// isWhole reports whether the body has been read to its end.
func (u *upload) isWhole() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == io.EOF
}

// failure returns why the caller did not send the whole body, or nil.
func (u *upload) failure() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == io.EOF {
		return nil
	}
	return u.err
}

// markLast notes that no attempt follows the one in progress, and releases what it has
// read.
func (u *upload) markLast() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isLast = true
	u.dropRead()
}

// isForwardOnly reports whether the body cannot be sent again.
func (u *upload) isForwardOnly() bool {
	return u.isLast || u.first > 0
}

// dropRead releases the blocks that the attempt in progress has read if no other follows.
// It leaves the blocks that reuseBlock needs for the rest of the body.
func (u *upload) dropRead() {
	for len(u.blocks) > 0 && u.isForwardOnly() && (u.err != nil || u.reserved > uploadWindowBytes) {
		block := u.blocks[0]
		if u.reader != nil && u.reader.offset < u.first+int64(len(block)) {
			return
		}
		u.first += int64(len(block))
		u.blocks = u.blocks[1:]
		u.reserved -= int64(cap(block))
		u.handler.releaseBody(int64(cap(block)))
	}
}

// hasStarted reports whether the host reads the body, so that the caller sends it.
func (u *upload) hasStarted() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isStarted
}

// release releases the memory of the upload. Its readers fail from then on.
func (u *upload) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isOver = true
	u.handler.releaseBody(u.reserved)
	u.blocks, u.reserved = nil, 0
	u.changed.Broadcast()
}

// close ends the upload after the response. It reads and discards what the caller still
// sends, at most for a time.
func (u *upload) close(linger time.Duration) {
	u.release()
	timer := time.AfterFunc(linger, u.interrupt)
	_ = u.group.Wait()
	timer.Stop()
	u.source.close()
}

// interrupt ends the upload unless the body has ended.
func (u *upload) interrupt() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isStarted && u.err == nil {
		u.source.interrupt()
	}
}

// newReader returns a reader for an attempt, from the start of the body. The reader of the
// attempt before must be closed.
func (u *upload) newReader() *uploadReader {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reader = &uploadReader{upload: u, trailer: maps.Clone(u.trailer), isClosed: u.first > 0}
	return u.reader
}

// uploadReader reads an upload for one attempt. The transport may read from it until after
// the attempt has ended, which takes nothing from the attempts that follow.
type uploadReader struct {
	upload *upload
	// offset and isClosed are guarded by upload.mu.
	offset   int64
	isClosed bool
	// trailer has the announced trailers, and their values once Read has returned io.EOF.
	trailer http.Header
}

// Read reads bytes that the upload holds, or waits for them.
func (r *uploadReader) Read(p []byte) (int, error) {
	u := r.upload
	u.mu.Lock()
	defer u.mu.Unlock()
	for {
		switch {
		case r.isClosed || u.isOver:
			return 0, errFenced
		case r.offset < u.end:
			return r.copy(p), nil
		case u.err == io.EOF:
			for name := range r.trailer {
				r.trailer[name] = u.trailer[name]
			}
			return 0, io.EOF
		case u.err != nil:
			return 0, u.err
		}
		u.startLocked()
		u.changed.Wait()
	}
}

// copy copies bytes of one block.
func (r *uploadReader) copy(p []byte) int {
	u := r.upload
	at := r.offset - u.first
	block := u.blocks[at/uploadBlockBytes]
	n := copy(p, block[at%uploadBlockBytes:])
	r.offset += int64(n)
	u.dropRead()
	u.changed.Broadcast()
	return n
}

// Close ends the reader. The server closes the caller's body after the request.
func (r *uploadReader) Close() error {
	u := r.upload
	u.mu.Lock()
	defer u.mu.Unlock()
	r.isClosed = true
	if u.reader == r {
		u.reader = nil
	}
	u.changed.Broadcast()
	return nil
}

// startUpload makes the body one that is forwarded while it arrives. The backend may
// respond before the whole body has been read.
func (x *exchange) startUpload(source *callerBody) {
	_ = source.controller.EnableFullDuplex()
	u := &upload{handler: x.h, request: x.r, source: source, fail: x.cancel, trailer: maps.Clone(x.r.Trailer)}
	u.changed.L = &u.mu
	x.body.upload = u
	if !x.awaitsContinue() {
		// While the body is read, the end of the caller's connection is noticed.
		u.start()
	}
}

// awaitsContinue reports whether the caller asks before it sends its body, so that a
// backend can refuse the request by its head alone.
func (x *exchange) awaitsContinue() bool {
	return strings.EqualFold(x.r.Header.Get("Expect"), "100-continue")
}

// endUpload ends the upload of a request whose response is written.
func (x *exchange) endUpload() {
	u := x.body.upload
	if u == nil {
		return
	}
	linger := time.Duration(0)
	if x.responseStarted && !x.isAborted && x.r.ProtoMajor == 1 && !u.isWhole() {
		x.flush()
		linger = callerconn.LingerTime
	}
	u.close(linger)
}
