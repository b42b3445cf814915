package engine

import (
	"context"
	"net/http"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
)

// blob is an exported KV cache. It is all that another engine needs to go on.
type blob struct {
	RequestID string `json:"RequestId"`
	Model     string
	Version   string
	Chat      bool
	Priority  int
	Total     int
	Produced  int
	Mark      string
}

// exportKV ends a generation here and answers with its KV cache.
func (server *Server) exportKV(writer http.ResponseWriter, request *http.Request) {
	var question struct {
		RequestID string `json:"RequestId"`
	}
	if !answer.Decode(writer, request, &question) {
		return
	}
	server.Lock()
	j := server.boot.jobs[question.RequestID]
	server.Unlock()
	if j == nil || j.adapter != nil {
		answer.Refuse(writer, http.StatusNotFound, "no such generation")
		return
	}
	j.cancel()
	produced, _, _ := j.progress(nil)
	answer.JSON(writer, http.StatusOK, blob{
		RequestID: j.id, Model: j.model, Version: j.replica.version, Chat: j.chat,
		Priority: j.priority, Total: j.total, Produced: produced, Mark: j.mark,
	})
}

// importKV takes up a generation of another engine; it is streamed once it is resumed here.
func (server *Server) importKV(writer http.ResponseWriter, request *http.Request) {
	var content blob
	if !answer.Decode(writer, request, &content) {
		return
	}
	server.Lock()
	life := server.boot
	server.Unlock()
	ctx, cancel := context.WithCancel(life.ctx)
	j := &job{
		id: content.RequestID, model: content.Model, chat: content.Chat, priority: content.Priority,
		total: content.Total, produced: content.Produced, mark: content.Mark, ctx: ctx, cancel: cancel,
	}
	if refusal := server.admit(life, j, content.Version, ""); refusal != "" {
		cancel()
		answer.Refuse(writer, http.StatusConflict, refusal)
		return
	}
	go server.abandon(life, j)
}
