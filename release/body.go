package release

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/note"
)

// The prefixes of object names. The SHA-256 of the content in hexadecimal digits follows.
const (
	prefixBody     = "Notes/"
	prefixSnapshot = "Snapshots/"
)

// encodeBody returns the content of the object that holds a note. Equal notes give equal bytes.
func encodeBody(accepted note.Note) ([]byte, error) {
	content, err := json.Marshal(accepted)
	return content, trace.Wrap(err)
}

// decodeBody returns the note that encodeBody encoded.
func decodeBody(content []byte) (note.Note, error) {
	var accepted note.Note
	if err := json.Unmarshal(content, &accepted); err != nil {
		return note.Note{}, trace.Wrap(err)
	}
	return accepted, nil
}

// objectName returns the name of an object with the content: the prefix and the hash of the content.
func objectName(prefix string, content []byte) string {
	hash := sha256.Sum256(content)
	return prefix + hex.EncodeToString(hash[:])
}
