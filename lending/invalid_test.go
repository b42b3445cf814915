package lending

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/lending/lendingpb"
	"github.com/bronzestall/bronzestall/relay"
)

// respondOnce answers the first request with the text, ends the connection and returns the address.
func respondOnce(t *testing.T, text string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if request, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(c, text)
	}()
	return listener.Addr().String()
}

// encodeHead returns the encoded head.
func encodeHead(t *testing.T, head *lendingpb.Head) string {
	var encoded bytes.Buffer
	if _, err := protodelim.MarshalTo(&encoded, head); err != nil {
		t.Fatal(err)
	}
	return encoded.String()
}

// TestUnframedResponseIsLost guards against issue 71: a response that ends with its connection may have been cut off.
func TestUnframedResponseIsLost(t *testing.T) {
	address := respondOnce(t, "HTTP/1.1 200 OK\r\n\r\n"+encodeHead(t, &lendingpb.Head{Status: http.StatusOK})+"part")
	_, err := NewClient("a", http.DefaultClient).Send(t.Context(), address, &exchange.Request{Method: http.MethodPost, Header: http.Header{}}, time.Second, relay.Allowance{})
	if !errors.Is(err, exchange.ErrLost) {
		t.Errorf("got %v", err)
	}
}

// TestInvalidHeadIsLost guards against issue 71: what follows an invalid head of a replica must not pass for the body of a response.
func TestInvalidHeadIsLost(t *testing.T) {
	for name, head := range map[string]*lendingpb.Head{
		"status 0":                 {},
		"status 102":               {Status: http.StatusProcessing},
		"status 600":               {Status: 600},
		"status over all integers": {Status: math.MaxUint64},
		"blank in a name":          {Status: 200, Header: []*lendingpb.Field{{Name: []byte("X Y"), Values: [][]byte{[]byte("z")}}}},
		"blank after a name":       {Status: 200, Header: []*lendingpb.Field{{Name: []byte("Content-Length "), Values: [][]byte{[]byte("3")}}}},
		"control byte in a name":   {Status: 200, Header: []*lendingpb.Field{{Name: []byte("X\x01"), Values: [][]byte{[]byte("z")}}}},
	} {
		t.Run(name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			encoded := encodeHead(t, head)
			address := respondOnce(t, fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", text, len(encoded), encoded))
			_, err := NewClient("a", http.DefaultClient).Send(t.Context(), address, &exchange.Request{Method: http.MethodPost, Header: http.Header{}}, time.Second, relay.Allowance{})
			if !errors.Is(err, exchange.ErrLost) {
				t.Errorf("got %v", err)
			}
		})
	}
}
