package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a script notes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
	lines int
}

// maxRecordLines bounds the lines about single requests.
const maxRecordLines = 40000

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Detail notes something about a single request. It is left out once there are too many.
func (r *Record) Detail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines++
	if r.lines == maxRecordLines {
		fmt.Fprintln(r.out, "(further lines about single requests are left out)")
	}
	if r.lines < maxRecordLines {
		r.write(format, args...)
	}
}

// Note notes a step of the script or a result, and prints it.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *Record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
