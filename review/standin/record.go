package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run, with the time since the start.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// add writes one line.
func (record *record) add(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// since returns the seconds from the start to the time.
func (record *record) since(at time.Time) float64 { return at.Sub(record.start).Seconds() }
