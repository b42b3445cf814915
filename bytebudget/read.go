package bytebudget

import (
	"errors"
	"io"
)

// ErrLong is the failure of a response that is longer than it may be.
var ErrLong = errors.New("the response is longer than it may be")

const (
	// firstPiece and maxPiece bound the sizes of the pieces in which a response is held, in bytes; they double.
	firstPiece = 2 << 10
	maxPiece   = 64 << 10
)

// Read reads to the end of the reader and returns what it read, in pieces. It draws on the account for each piece before it reads into it,
// and fails with ErrShort if the account was ended, and with ErrLong if there are more bytes than the limit.
func Read(reader io.Reader, limit int64, account *Account) ([][]byte, error) {
	var pieces [][]byte
	total := int64(0)
	for size := firstPiece; ; size = min(2*size, maxPiece) {
		if err := account.Grow(size); err != nil {
			return nil, err
		}
		piece, err := fill(reader, size)
		pieces = append(pieces, piece)
		if total += int64(len(piece)); total > limit {
			return nil, ErrLong
		}
		if errors.Is(err, io.EOF) {
			return pieces, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// fill reads until so many bytes were read or the reader fails. Unlike io.ReadFull it returns each failure as it is, since a response
// that breaks off must not count as one that ends.
func fill(reader io.Reader, size int) ([]byte, error) {
	piece := make([]byte, size)
	read := 0
	for read < size {
		count, err := reader.Read(piece[read:])
		read += count
		if err != nil {
			return piece[:read], err
		}
	}
	return piece, nil
}
