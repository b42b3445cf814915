package main

import (
	"errors"
	"testing"
)

// flakyWriter fails at its first write.
type flakyWriter struct{ writes int }

func (writer *flakyWriter) Write(part []byte) (int, error) {
	if writer.writes++; writer.writes == 1 {
		return 0, errors.New("no space left")
	}
	return len(part), nil
}

// TestPrinterKeepsEachError covers a command that prints twice, the first time without success.
func TestPrinterKeepsEachError(t *testing.T) {
	for _, asJSON := range []bool{true, false} {
		printer := &printer{out: &flakyWriter{}, json: asJSON}
		for range 2 {
			printer.print(1, func(page *page) { page.line("one") })
		}
		if printer.err == nil {
			t.Errorf("as JSON %t: the error of the first print is lost", asJSON)
		}
	}
}
