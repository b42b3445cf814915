package openjson

import (
	"encoding/json"
	"reflect"
	"testing"
)

type inner struct{ Number int }

type object struct {
	Name  string `json:"Title,omitempty"`
	Count int
	Inner inner
	List  []inner `json:",omitempty"`
	Left  int     `json:"-"`
	local int
}

func TestUnknownMembersAreKept(t *testing.T) {
	for content, want := range map[string]string{
		`{"Title":"a","Count":1,"Inner":{"Number":2}}`:    `{"Title":"a","Count":1,"Inner":{"Number":2}}`,
		`{"New":{"b":[1, 2]},"Count":3}`:                  `{"Count":3,"Inner":{"Number":0},"New":{"b":[1,2]}}`,
		`{"count":4,"TITLE":"b","local":5,"Old":null}`:    `{"Title":"b","Count":4,"Inner":{"Number":0},"Old":null,"local":5}`,
		`{"Inner":{"Number":1,"Lost":2},"Z":1e400,"A":0}`: `{"Count":0,"Inner":{"Number":1},"A":0,"Z":1e400}`,
		`{"-":6,"Left":7}`:                                `{"Count":0,"Inner":{"Number":0},"-":6,"Left":7}`,
		`{}`:                                              `{"Count":0,"Inner":{"Number":0}}`,
	} {
		var decoded object
		rest, err := Decode([]byte(content), &decoded)
		if err != nil {
			t.Errorf("%s: %v", content, err)
			continue
		}
		if got, err := Encode(decoded, rest); err != nil || string(got) != want {
			t.Errorf("%s is written as %s, %v, want %s", content, got, err, want)
		}
	}
}

func TestMalformedObjectsAreRejected(t *testing.T) {
	for _, content := range []string{``, `{`, `[]`, `7`, `{"Count":"x"}`, `{} {}`} {
		var decoded object
		if rest, err := Decode([]byte(content), &decoded); err == nil {
			t.Errorf("%q is decoded as %+v with %q", content, decoded, rest)
		}
	}
}

// FuzzDecode checks that what was decoded can be written and read again without a loss.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Title":"a","Count":1,"New":{"x":[1,"\u0000"]}}`))
	f.Add([]byte(`{"":null,"count":2,"Count":3}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		var first, second object
		rest, err := Decode(content, &first)
		if err != nil {
			return
		}
		written, err := Encode(first, rest)
		if err != nil || !json.Valid(written) {
			t.Fatalf("%q is written as %q, %v", content, written, err)
		}
		again, err := Decode(written, &second)
		if err != nil || again != rest || !reflect.DeepEqual(first, second) {
			t.Fatalf("%q is read again as %+v with %q, %v", written, second, again, err)
		}
	})
}
