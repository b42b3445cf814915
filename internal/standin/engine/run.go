package engine

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// prefixSpeedup is how many times as fast the first token comes when the prompt prefix is cached.
const prefixSpeedup = 4

// admit puts the job in the batch or before it. It returns the reason if the engine does not take it.
func (server *Server) admit(life *boot, j *job, version, adapterName string) (refusal string) {
	server.Lock()
	defer server.Unlock()
	refusal = server.place(life, j, version, adapterName)
	if refusal != "" {
		server.Recorded.Refused[refusal]++
	}
	return refusal
}

func (server *Server) place(life *boot, j *job, version, adapterName string) (refusal string) {
	if server.ActiveFaults.Leaving {
		server.Recorded.AfterLeaving++
		return "leaving"
	}
	r := life.find(j.model, version)
	if r == nil || life != server.boot {
		return "not loaded"
	}
	if adapterName != "" {
		j.adapter = r.adapter(adapterName)
		if j.adapter == nil || !isClosed(j.adapter.ready) {
			return "adapter not loaded"
		}
	}
	if r.running >= server.settings.Batch && len(r.waiting) >= server.settings.Waiting {
		return "full"
	}
	if j.adapter != nil {
		j.adapter.busy++
	}
	j.replica = r
	life.jobs[j.id] = j
	server.prune(life)
	if r.running >= server.settings.Batch {
		r.enqueue(j)
		return ""
	}
	server.start(life, j)
	return ""
}

// prune forgets generations that ended long ago. The lock is held.
func (server *Server) prune(life *boot) {
	const often = 64
	if len(life.jobs)%often != 0 {
		return
	}
	before := server.clock.Now().Add(-server.settings.KeepFinished)
	for id, j := range life.jobs {
		if j.expired(before) {
			delete(life.jobs, id)
		}
	}
}

// start runs the job in the batch. The lock is held.
func (server *Server) start(life *boot, j *job) {
	j.replica.running++
	if j.produced == 0 {
		server.Recorded.Executions[j.id]++
	}
	go server.run(life, j)
}

// run produces the tokens of the job at the engine's pace and leaves the batch.
func (server *Server) run(life *boot, j *job) {
	defer server.leave(life, j)
	first := server.settings.FirstToken
	if j.prefixHit {
		first /= prefixSpeedup
	}
	next := server.clock.Now().Add(server.slow(first))
	timer := server.clock.NewTimer(next.Sub(server.clock.Now()))
	defer timer.Stop()
	for index := j.produced + 1; index <= j.total; index++ {
		select {
		case <-timer.C():
		case <-j.ctx.Done():
			return
		}
		if j.crashes {
			server.crashBy(life, j)
			return
		}
		j.advance()
		next = next.Add(server.slow(server.settings.TokenEvery))
		timer.Reset(max(next.Sub(server.clock.Now()), 0))
	}
}

// leave ends the job and lets the next one into the batch.
func (server *Server) leave(life *boot, j *job) {
	j.end(server.clock.Now())
	j.cancel()
	server.Lock()
	defer server.Unlock()
	if j.adapter != nil {
		j.adapter.busy--
	}
	if j.complete() {
		server.Recorded.Completed++
	} else {
		server.Recorded.Cancelled++
	}
	r := j.replica
	r.running--
	server.startWaiting(life, r)
	server.freeIfIdle(r)
}

func (server *Server) startWaiting(life *boot, r *replica) {
	for len(r.waiting) > 0 && r.running < server.settings.Batch && life.ctx.Err() == nil {
		next := r.waiting[0]
		r.waiting = r.waiting[1:]
		if next.ctx.Err() != nil {
			server.dropWaiting(next)
			continue
		}
		server.start(life, next)
	}
}

// dropWaiting ends a job that never began. The lock is held.
func (server *Server) dropWaiting(j *job) {
	j.end(server.clock.Now())
	j.cancel()
	if j.adapter != nil {
		j.adapter.busy--
	}
	server.Recorded.Cancelled++
}

// abandon ends the job unless another connection takes it up within the grace.
func (server *Server) abandon(life *boot, j *job) {
	select {
	case <-server.clock.After(server.settings.ResumeGrace):
	case <-life.ctx.Done():
	}
	if !j.abandoned() {
		return
	}
	j.cancel()
	server.Lock()
	defer server.Unlock()
	for at, waiting := range j.replica.waiting {
		if waiting == j {
			j.replica.waiting = append(j.replica.waiting[:at:at], j.replica.waiting[at+1:]...)
			server.dropWaiting(j)
			server.freeIfIdle(j.replica)
			return
		}
	}
}

// loadOf returns the load report of the job's replica.
func (server *Server) loadOf(j *job) load {
	server.Lock()
	defer server.Unlock()
	name := upstream.Checkpoint(j.replica.model, j.replica.version)
	if server.boot.replicas[name] != j.replica {
		return load{}
	}
	return server.load(name)
}

// heartbeatEvery returns the interval of heartbeats, or a very long one while they are muted.
func (server *Server) heartbeatEvery() time.Duration {
	server.Lock()
	defer server.Unlock()
	if server.ActiveFaults.Mute {
		return 24 * time.Hour
	}
	return server.settings.Heartbeat
}
