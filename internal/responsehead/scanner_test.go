package responsehead

import (
	"strings"
	"testing"
)

// heads maps heads to whether they are valid.
var heads = map[string]bool{
	"HTTP/1.1 200 OK\r\nA: b\r\n\r\n":                                    true,
	"HTTP/1.1 599\r\n\r\n":                                               true,
	"HTTP/1.1 200 OK\nA: b\n\n":                                          true,
	"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":             true,
	"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 This is a body\r\n\r\n":         true,
	"HTTP/1.1 200 OK\r\nA:b\r\nC!#$%&'*+-.^_`|~9:  d e \t\r\nE:\r\n\r\n": true,
	"HTTP/1.1 200 OK\r\nA : b\r\n\r\n":                                   false,
	"HTTP/1.1 200 OK\r\nA B: c\r\n\r\n":                                  false,
	"HTTP/1.1 200 OK\r\n A: b\r\n\r\n":                                   false,
	"HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n":                           false,
	"HTTP/1.1 200 OK\r\nA: b\r\n\tC: d\r\n\r\n":                          false,
	"HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\n":                               false,
	"HTTP/1.1 200 OK\r\nA\x00: b\r\n\r\n":                                false,
	"HTTP/1.1 200 OK\r\nA\rB: c\r\n\r\n":                                 false,
	"HTTP/1.1 200 OK\r\nA\x7f: b\r\n\r\n":                                false,
	"HTTP/1.1 200 OK\r\n: b\r\n\r\n":                                     false,
	"HTTP/1.1 200 OK\r\nA\r\n\r\n":                                       false,
	"HTTP/1.1 102 Processing\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":   false,
	"HTTP/1.1 000 OK\r\n\r\n":                                            false,
	"HTTP/1.1 099 OK\r\n\r\n":                                            false,
	"HTTP/1.1 600 OK\r\n\r\n":                                            false,
	"HTTP/1.1 20 OK\r\n\r\n":                                             false,
	"HTTP/1.1 2000 OK\r\n\r\n":                                           false,
	"HTTP/1.1 +20 OK\r\n\r\n":                                            false,
	"HTTP/1.1 2x0 OK\r\n\r\n":                                            false,
	"HTTP/1.1\r\n\r\n":                                                   false,
	"no response\r\n\r\n":                                                false,
	"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 Trouble\r\n\r\n":        false,
}

// scan returns the failure of a head that comes in parts of the given size.
func scan(head string, size int) error {
	var scanner Scanner
	err := scanner.Begin([]byte(head[:min(size, len(head))]))
	for begin := size; begin < len(head) && err == nil; begin += size {
		err = scanner.Scan([]byte(head[begin:min(begin+size, len(head))]))
	}
	return err
}

func TestHeads(t *testing.T) {
	for head, valid := range heads {
		for _, size := range []int{1, 2, 7, len(head)} {
			if err := scan(head, size); (err == nil) != valid || (err != nil && !IsInvalid(err)) {
				t.Errorf("%q in parts of %d bytes: %v", head, size, err)
			}
		}
	}
}

// TestErrorQuotesTheBegin covers lines that would fill the log.
func TestErrorQuotesTheBegin(t *testing.T) {
	err := scan("HTTP/1.1 000 "+strings.Repeat("x", 4096)+"\r\n", 100)
	if err == nil || len(err.Error()) > 2*maxQuotedBytes {
		t.Errorf("got %v", err)
	}
}

// FuzzScanner checks that the division of the bytes into parts changes nothing.
func FuzzScanner(f *testing.F) {
	for head := range heads {
		f.Add(head, 3)
	}
	f.Fuzz(func(t *testing.T, head string, size int) {
		if size <= 0 || head == "" {
			return
		}
		whole, parted := scan(head, len(head)), scan(head, size)
		if (whole == nil) != (parted == nil) {
			t.Errorf("%q: %v at once, %v in parts of %d bytes", head, whole, parted, size)
		}
	})
}
