// Package golden checks in tests that a build reads what builds of earlier landings wrote, and what later ones may write.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// landing names the landing whose files the tests write.
var landing = flag.String("landing", "", "write the files of the formats for the landing of this name, such as the commit; only with the build of that landing")

// Format is one format that a build writes and another reads.
type Format[T any] struct {
	// Name begins the names of its files in the folder testdata: NAME-LANDING.
	Name string
	// Sample is a value with all fields set.
	Sample T
	// Encode encodes the sample as this build writes it.
	Encode func(sample T) []byte
	// Decode decodes a value as this build reads it. What it keeps of unknown fields must not be part of the value.
	Decode func(content []byte) (T, error)
	// Variants returns what other builds may write: JSON or Message.
	Variants func(t *testing.T, content []byte) Variants
}

// Variants holds forms of an encoded value.
type Variants struct {
	// Extended has unknown fields. It must be decoded as the original.
	Extended []byte
	// Reduced lacks one field each. They must be decoded without an error.
	Reduced map[string][]byte
}

// Check checks that the files of the format, and what this build writes, are decoded as the sample, also with unknown fields, and
// that no field is required. There must be a file.
func (format Format[T]) Check(t *testing.T) {
	t.Helper()
	written := format.Encode(format.Sample)
	if *landing != "" {
		format.write(t, written)
	}
	files, err := filepath.Glob(filepath.Join("testdata", format.Name+"-*"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%s has no files: %v", format.Name, err)
	}
	format.check(t, "this build", written)
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		format.check(t, file, content)
	}
}

// write writes the file of the landing. A file that exists stays.
func (format Format[T]) write(t *testing.T, content []byte) {
	t.Helper()
	path := filepath.Join("testdata", format.Name+"-"+*landing)
	if err := os.MkdirAll("testdata", 0o755); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.Write(content); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

// check checks one content and its variants.
func (format Format[T]) check(t *testing.T, source string, content []byte) {
	t.Helper()
	format.expectSample(t, source, content)
	variants := format.Variants(t, content)
	format.expectSample(t, source+" with unknown fields", variants.Extended)
	for field, reduced := range variants.Reduced {
		if _, err := format.Decode(reduced); err != nil {
			t.Errorf("%s: %s without %s: %v", format.Name, source, field, err)
		}
	}
}

func (format Format[T]) expectSample(t *testing.T, source string, content []byte) {
	t.Helper()
	if got, err := format.Decode(content); err != nil || !reflect.DeepEqual(got, format.Sample) {
		t.Errorf("%s: %s is decoded as %+v, %v, want %+v", format.Name, source, got, err, format.Sample)
	}
}
