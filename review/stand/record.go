package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file of a case in which everything stands that was sent, answered
// and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// add writes a line with the time in milliseconds since the start of the script.
func (r *record) add(event string, fields ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%7d %s", time.Since(r.began).Milliseconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&line, " %v=%v", fields[i], fields[i+1])
	}
	line.WriteByte('\n')
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line.String())
}
