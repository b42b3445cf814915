package engine

import (
	"context"
	"net/http"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
)

// exportedKV stands for an exported KV cache. It holds all that another engine needs to continue a generation.
type exportedKV struct {
	RequestID string `json:"RequestId"`
	Model     string
	Version   string
	Chat      bool
	Priority  int
	Total     int
	Produced  int
	Mark      string
}

// exportKV ends a generation on this engine and responds with its KV cache.
func (server *Server) exportKV(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		RequestID string `json:"RequestId"`
	}
	if !answer.Decode(writer, request, &body) {
		return
	}
	server.Lock()
	j := server.boot.jobs[body.RequestID]
	server.Unlock()
	if j == nil || j.adapter != nil {
		answer.Refuse(writer, http.StatusNotFound, "no such generation")
		return
	}
	j.cancel()
	produced, _, _ := j.progress(nil)
	answer.JSON(writer, http.StatusOK, exportedKV{
		RequestID: j.id, Model: j.model, Version: j.replica.version, Chat: j.chat,
		Priority: j.priority, Total: j.total, Produced: produced, Mark: j.digest,
	})
}

// importKV continues a generation that another engine exported. A client receives its stream by resuming it here.
func (server *Server) importKV(writer http.ResponseWriter, request *http.Request) {
	var content exportedKV
	if !answer.Decode(writer, request, &content) {
		return
	}
	server.Lock()
	current := server.boot
	server.Unlock()
	ctx, cancel := context.WithCancel(current.ctx)
	j := &job{
		id: content.RequestID, model: content.Model, chat: content.Chat, priority: content.Priority,
		total: content.Total, produced: content.Produced, digest: content.Mark, ctx: ctx, cancel: cancel,
	}
	if refusal := server.admit(current, j, content.Version, ""); refusal != "" {
		cancel()
		answer.Refuse(writer, http.StatusConflict, refusal)
		return
	}
	go server.abandon(current, j)
}
