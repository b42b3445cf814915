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

// defaultTokens is the number of tokens of a response whose request does not state max_tokens.
const defaultTokens = 16

// mismatchedID is the request identifier of responses with the faults CrossedHeads and CrossedPieces.
const mismatchedID = "someone-else"

// generationRequest is a decoded HTTP request for a generation.
type generationRequest struct {
	job         *job
	version     string
	adapter     string
	prefix      string
	stream      bool
	resumeAfter int
}

func (server *Server) serveGeneration(writer http.ResponseWriter, request *http.Request) {
	server.Lock()
	current := server.boot
	server.Unlock()
	parsed, err := server.parseRequest(current, request)
	if err != nil {
		answer.Refuse(writer, http.StatusBadRequest, err.Error())
		return
	}
	if parsed.resumeAfter > 0 {
		server.resume(writer, request, current, parsed)
		return
	}
	parsed.job.prefixHit = server.usePrefix(current, parsed.job.model, parsed.prefix)
	refusal := server.admit(current, parsed.job, parsed.version, parsed.adapter)
	if refusal != "" {
		parsed.job.cancel()
		answer.Refuse(writer, http.StatusConflict, refusal)
		return
	}
	server.reply(writer, request, current, parsed.job, parsed.stream, 0)
}

func (server *Server) parseRequest(ownBoot *boot, request *http.Request) (generationRequest, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return generationRequest{}, err
	}
	var fields struct {
		Model     string `json:"model"`
		Stream    bool   `json:"stream"`
		MaxTokens int    `json:"max_tokens"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return generationRequest{}, err
	}
	hash := fnv.New32a()
	_, _ = hash.Write(body)
	model, adapterName, _ := strings.Cut(fields.Model, ":")
	priority, _ := strconv.Atoi(request.Header.Get("X-Priority"))
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-ID"))
	ctx, cancel := context.WithCancel(ownBoot.ctx)
	return generationRequest{
		job: &job{
			id:       request.Header.Get("X-Request-Id"),
			model:    model,
			chat:     strings.HasSuffix(request.URL.Path, "/chat/completions"),
			priority: priority,
			total:    cmp.Or(fields.MaxTokens, defaultTokens),
			digest:   fmt.Sprintf("%08x", hash.Sum32()),
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

// resume continues the stream of an existing generation on a new connection.
func (server *Server) resume(writer http.ResponseWriter, request *http.Request, ownBoot *boot, parsed generationRequest) {
	parsed.job.cancel()
	j := server.resumable(ownBoot, parsed.job.id)
	if j == nil {
		answer.Refuse(writer, http.StatusGone, "cannot resume")
		return
	}
	server.reply(writer, request, ownBoot, j, true, parsed.resumeAfter)
}

// resumable returns the generation if it is running or complete, and counts the resumption. Otherwise it
// returns nil.
func (server *Server) resumable(ownBoot *boot, id string) *job {
	server.Lock()
	defer server.Unlock()
	j := ownBoot.jobs[id]
	if j == nil || (j.ctx.Err() != nil && !j.complete()) {
		return nil
	}
	server.Recorded.Resumed++
	return j
}

func (server *Server) reply(writer http.ResponseWriter, request *http.Request, ownBoot *boot, j *job, stream bool, after int) {
	own := j.attach()
	defer func() {
		if j.detach(own) {
			go server.abandon(ownBoot, j)
		}
	}()
	responseID := j.id
	if server.ConsumeFault(func(faults *Faults) *int { return &faults.CrossedHeads }) {
		responseID = mismatchedID
	}
	writer.Header().Set("X-Request-Id", responseID)
	if stream {
		out := &streamWriter{server: server, writer: writer, request: request, job: j, own: own, responseID: responseID, sent: after}
		out.stream()
		return
	}
	server.serveWhole(writer, request, j, own, responseID)
}

// serveWhole responds with one JSON object when the job is complete. Until then it sends informational responses
// (status 102) as heartbeats.
func (server *Server) serveWhole(writer http.ResponseWriter, request *http.Request, j *job, own *connection, responseID string) {
	ticker := server.clock.NewTicker(server.heartbeatInterval())
	defer ticker.Stop()
	for {
		_, ended, current := j.progress(own)
		if ended || !current {
			break
		}
		select {
		case <-own.changed:
		case <-ticker.C():
			writer.WriteHeader(http.StatusProcessing)
		case <-request.Context().Done():
			return
		case <-j.ctx.Done():
			abortIfIncomplete(j)
		}
	}
	abortIfIncomplete(j)
	body := j.body(responseID)
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

func abortIfIncomplete(j *job) {
	if !j.complete() {
		answer.AbortConnection()
	}
}

func (server *Server) writeLoad(writer http.ResponseWriter, header string, j *job) {
	report := server.jobLoad(j)
	writer.Header().Set(header, fmt.Sprintf("%d/%d", report.running, report.waiting))
}
