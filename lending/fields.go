package lending

import (
	"net/http"

	"github.com/bronzestall/bronzestall/lending/lendingpb"
)

// encodeHeader encodes headers byte by byte, since values need not be valid text.
func encodeHeader(header http.Header) []*lendingpb.Field {
	fields := make([]*lendingpb.Field, 0, len(header))
	for name, values := range header {
		field := &lendingpb.Field{Name: []byte(name)}
		for _, value := range values {
			field.Values = append(field.Values, []byte(value))
		}
		fields = append(fields, field)
	}
	return fields
}

func decodeHeader(fields []*lendingpb.Field) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		name := string(field.GetName())
		for _, value := range field.GetValues() {
			header[name] = append(header[name], string(value))
		}
	}
	return header
}
