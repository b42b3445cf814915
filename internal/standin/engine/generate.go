package engine

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
)

// defaultTokens is the length of an answer whose request does not say.
const defaultTokens = 16

// foreignID is the identifier that crossed answers carry.
const foreignID = "someone-else"

// asked is one generation as read from its HTTP request.
type asked struct {
	job         *job
	version     string
	adapter     string
	prefix      string
	stream      bool
	resumeAfter int
}

func (server *Server) generate(writer http.ResponseWriter, request *http.Request) {
	server.Lock()
	life := server.boot
	server.Unlock()
	question, err := server.ask(life, request)
	if err != nil {
		answer.Refuse(writer, http.StatusBadRequest, err.Error())
		return
	}
	if question.resumeAfter > 0 {
		server.resume(writer, request, life, question)
		return
	}
	question.job.prefixHit = server.usePrefix(life, question.job.model, question.prefix)
	refusal := server.admit(life, question.job, question.version, question.adapter)
	if refusal != "" {
		question.job.cancel()
		answer.Refuse(writer, http.StatusConflict, refusal)
		return
	}
	server.reply(writer, request, life, question.job, question.stream, 0)
}

func (server *Server) ask(life *boot, request *http.Request) (asked, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return asked{}, err
	}
	var fields struct {
		Model     string `json:"model"`
		Stream    bool   `json:"stream"`
		MaxTokens int    `json:"max_tokens"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return asked{}, err
	}
	hash := fnv.New32a()
	_, _ = hash.Write(body)
	model, adapterName, _ := strings.Cut(fields.Model, ":")
	priority, _ := strconv.Atoi(request.Header.Get("X-Priority"))
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-ID"))
	ctx, cancel := context.WithCancel(life.ctx)
	return asked{
		job: &job{
			id:       request.Header.Get("X-Request-Id"),
			model:    model,
			chat:     strings.HasSuffix(request.URL.Path, "/chat/completions"),
			priority: priority,
			total:    cmp.Or(fields.MaxTokens, defaultTokens),
			mark:     fmt.Sprintf("%08x", hash.Sum32()),
			crashes:  bytes.Contains(body, []byte(server.settings.CrashMark)),
			ctx:      ctx,
			cancel:   cancel,
		},
		version:     request.Header.Get("X-Model-Version"),
		adapter:     adapterName,
		prefix:      request.Header.Get("X-Prefix"),
		stream:      fields.Stream,
		resumeAfter: after,
	}, nil
}

// resume goes on with a stream over another connection.
func (server *Server) resume(writer http.ResponseWriter, request *http.Request, life *boot, question asked) {
	question.job.cancel()
	j := server.resumable(life, question.job.id)
	if j == nil {
		answer.Refuse(writer, http.StatusGone, "cannot resume")
		return
	}
	server.reply(writer, request, life, j, true, question.resumeAfter)
}

// resumable returns the generation if it goes on or is complete, and counts the resumption.
func (server *Server) resumable(life *boot, id string) *job {
	server.Lock()
	defer server.Unlock()
	j := life.jobs[id]
	if j == nil || (j.ctx.Err() != nil && !j.complete()) {
		return nil
	}
	server.Recorded.Resumed++
	return j
}

func (server *Server) reply(writer http.ResponseWriter, request *http.Request, life *boot, j *job, stream bool, after int) {
	mine := j.attach()
	defer func() {
		if j.detach(mine) {
			go server.abandon(life, j)
		}
	}()
	shown := j.id
	if server.ConsumeFault(func(faults *Faults) *int { return &faults.CrossedHeads }) {
		shown = foreignID
	}
	writer.Header().Set("X-Request-Id", shown)
	if stream {
		out := &outlet{server: server, writer: writer, request: request, job: j, mine: mine, shown: shown, sent: after}
		out.stream()
		return
	}
	server.whole(writer, request, j, mine, shown)
}

// whole answers with one JSON object once the job is complete, with informational answers as heartbeats.
func (server *Server) whole(writer http.ResponseWriter, request *http.Request, j *job, mine *owner, shown string) {
	ticker := server.clock.NewTicker(server.heartbeatEvery())
	defer ticker.Stop()
	for {
		_, ended, owned := j.progress(mine)
		if ended || !owned {
			break
		}
		select {
		case <-mine.changed:
		case <-ticker.C():
			writer.WriteHeader(http.StatusProcessing)
		case <-request.Context().Done():
			return
		case <-j.ctx.Done():
			cutIfIncomplete(j)
		}
	}
	cutIfIncomplete(j)
	body := j.body(shown)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	server.writeLoad(writer, "X-Load", j)
	if server.ConsumeFault(func(faults *Faults) *int { return &faults.Truncated }) {
		_, _ = writer.Write(body[:len(body)/2])
		_ = http.NewResponseController(writer).Flush()
		answer.AbortConnection()
	}
	_, _ = writer.Write(body)
}

func cutIfIncomplete(j *job) {
	if !j.complete() {
		answer.AbortConnection()
	}
}

func (server *Server) writeLoad(writer http.ResponseWriter, header string, j *job) {
	report := server.loadOf(j)
	writer.Header().Set(header, fmt.Sprintf("%d/%d", report.running, report.waiting))
}
