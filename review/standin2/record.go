package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	begun time.Time
	mutex sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: file}, nil
}

// add writes a line with the time since the begin.
func (record *record) add(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.begun).Seconds(), fmt.Sprintf(format, values...))
}
