package engine

import (
	"strconv"
	"strings"
)

// appendChunk appends one server-sent event with the token to the buffer.
func (j *job) appendChunk(buffer []byte, id string, index int) []byte {
	buffer = append(buffer, "id: "...)
	buffer = strconv.AppendInt(buffer, int64(index), 10)
	buffer = append(buffer, "\ndata: {\"id\":"...)
	buffer = strconv.AppendQuote(buffer, id)
	buffer = append(buffer, `,"object":"`...)
	buffer = append(buffer, j.object(".chunk")...)
	buffer = append(buffer, `","model":`...)
	buffer = strconv.AppendQuote(buffer, j.model)
	buffer = append(buffer, `,"choices":[{"index":0,`...)
	if j.chat {
		buffer = append(buffer, `"delta":{"content":`...)
		buffer = strconv.AppendQuote(buffer, j.token(index))
		buffer = append(buffer, '}')
	} else {
		buffer = append(buffer, `"text":`...)
		buffer = strconv.AppendQuote(buffer, j.token(index))
	}
	buffer = append(buffer, `,"finish_reason":`...)
	buffer = append(buffer, j.finishReason(index)...)
	return append(buffer, "}]}\n\n"...)
}

func (j *job) object(suffix string) string {
	if j.chat {
		return "chat.completion" + suffix
	}
	return "text_completion"
}

func (j *job) finishReason(index int) string {
	if index == j.total {
		return `"stop"`
	}
	return "null"
}

// body returns the whole response as one JSON object.
func (j *job) body(id string) []byte {
	var text strings.Builder
	for index := 1; index <= j.total; index++ {
		text.WriteString(j.token(index))
	}
	content := `"text":` + strconv.Quote(text.String())
	if j.chat {
		content = `"message":{"role":"assistant","content":` + strconv.Quote(text.String()) + `}`
	}
	return []byte(`{"id":` + strconv.Quote(id) +
		`,"object":"` + j.object("") +
		`","model":` + strconv.Quote(j.model) +
		`,"choices":[{"index":0,` + content + `,"finish_reason":"stop"}]` +
		`,"usage":{"completion_tokens":` + strconv.Itoa(j.total) + `}}`)
}
