package responsehead

import (
	"bytes"

	"golang.org/x/net/http/httpguts"
)

// Scanner checks the head of a response while its bytes arrive, however they are divided. The zero value checks nothing until Begin
// is called. Its user must bound the bytes of a head.
type Scanner struct {
	// inHead is set until the end of the head has come.
	inHead bool
	// begun is set once the status line of the head has come.
	begun bool
	// interim is set if another head follows the current one.
	interim bool
	// line is the beginning of a line whose end has not come.
	line []byte
}

// Begin begins the head of the next response with the bytes of it that were already received. It fails like Scan.
func (scanner *Scanner) Begin(received []byte) error {
	*scanner = Scanner{inHead: true, line: scanner.line[:0]}
	return scanner.Scan(received)
}

// Scan checks the bytes that were received next, up to the end of the head; what follows is ignored. The heads of interim
// responses and of the response after them count as one. It fails with an *Error if a line is not valid.
func (scanner *Scanner) Scan(received []byte) error {
	for scanner.inHead {
		end := bytes.IndexByte(received, '\n')
		if end < 0 {
			scanner.line = append(scanner.line, received...)
			return nil
		}
		line := received[:end]
		if len(scanner.line) > 0 {
			scanner.line = append(scanner.line, line...)
			line = scanner.line
		}
		if err := scanner.check(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
		scanner.line = scanner.line[:0]
		received = received[end+1:]
	}
	return nil
}

// check checks one line without its end.
func (scanner *Scanner) check(line []byte) error {
	switch {
	case !scanner.begun:
		scanner.begun = true
		return scanner.checkStatus(line)
	case len(line) == 0:
		scanner.inHead, scanner.begun = scanner.interim, false
		return nil
	}
	return checkField(line)
}

// checkStatus checks the status code of a status line. Codes outside 100 to 599 are not valid (RFC 9110, section 15).
func (scanner *Scanner) checkStatus(line []byte) error {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(code) != 3 || code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]) {
		return newError(line)
	}
	scanner.interim = code[0] == '1'
	return nil
}

// checkField checks the name of a field. A line that begins with a blank would continue the line before it, a form that senders must not
// use (RFC 9112, section 5.2) and that hides a field such as the length of the body.
func checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return newError(line)
	}
	return nil
}

func isDigit(char byte) bool {
	return '0' <= char && char <= '9'
}
