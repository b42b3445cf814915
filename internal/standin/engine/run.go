package engine

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// prefixSpeedup divides the time to the first token if the prompt prefix is cached.
const prefixSpeedup = 4

// admit adds the job to the batch or to the waiting jobs. It returns the reason if the job is refused.
func (server *Server) admit(ownBoot *boot, j *job, version, adapterName string) (refusal string) {
	server.Lock()
	defer server.Unlock()
	refusal = server.tryAdmit(ownBoot, j, version, adapterName)
	if refusal != "" {
		server.Recorded.Refused[refusal]++
	}
	return refusal
}

func (server *Server) tryAdmit(ownBoot *boot, j *job, version, adapterName string) (refusal string) {
	if server.ActiveFaults.Leaving {
		server.Recorded.AfterLeaving++
		return "leaving"
	}
	r := ownBoot.find(j.model, version)
	if r == nil || ownBoot != server.boot {
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
		j.adapter.users++
	}
	j.replica = r
	ownBoot.jobs[j.id] = j
	server.prune(ownBoot)
	if r.running >= server.settings.Batch {
		r.enqueue(j)
		return ""
	}
	server.startJob(ownBoot, j)
	return ""
}

// prune removes generations that ended longer than KeepFinished ago. The caller must hold the mutex.
func (server *Server) prune(ownBoot *boot) {
	const pruneInterval = 64
	if len(ownBoot.jobs)%pruneInterval != 0 {
		return
	}
	before := server.clock.Now().Add(-server.settings.KeepFinished)
	for id, j := range ownBoot.jobs {
		if j.expired(before) {
			delete(ownBoot.jobs, id)
		}
	}
}

// startJob starts the job in the batch. The caller must hold the mutex.
func (server *Server) startJob(ownBoot *boot, j *job) {
	j.replica.running++
	if j.produced == 0 {
		server.Recorded.Executions[j.id]++
	}
	go server.produceTokens(ownBoot, j)
}

// produceTokens produces the tokens of the job at the configured rate and removes it from the batch.
func (server *Server) produceTokens(ownBoot *boot, j *job) {
	defer server.finishJob(ownBoot, j)
	first := server.settings.FirstToken
	if j.prefixHit {
		first /= prefixSpeedup
	}
	next := server.clock.Now().Add(server.slowed(first))
	timer := server.clock.NewTimer(next.Sub(server.clock.Now()))
	defer timer.Stop()
	for index := j.produced + 1; index <= j.total; index++ {
		select {
		case <-timer.C():
		case <-j.ctx.Done():
			return
		}
		if j.crashes {
			server.crashBy(ownBoot, j)
			return
		}
		j.addToken()
		next = next.Add(server.slowed(server.settings.TokenEvery))
		timer.Reset(max(next.Sub(server.clock.Now()), 0))
	}
}

// finishJob ends the job and starts waiting jobs in its place.
func (server *Server) finishJob(ownBoot *boot, j *job) {
	j.finish(server.clock.Now())
	j.cancel()
	server.Lock()
	defer server.Unlock()
	if j.adapter != nil {
		j.adapter.users--
	}
	if j.complete() {
		server.Recorded.Completed++
	} else {
		server.Recorded.Cancelled++
	}
	r := j.replica
	r.running--
	server.startWaiting(ownBoot, r)
	server.freeIfIdle(r)
}

func (server *Server) startWaiting(ownBoot *boot, r *replica) {
	for len(r.waiting) > 0 && r.running < server.settings.Batch && ownBoot.ctx.Err() == nil {
		next := r.waiting[0]
		r.waiting = r.waiting[1:]
		if next.ctx.Err() != nil {
			server.dropWaiting(next)
			continue
		}
		server.startJob(ownBoot, next)
	}
}

// dropWaiting ends a job that was never started. The caller must hold the mutex.
func (server *Server) dropWaiting(j *job) {
	j.finish(server.clock.Now())
	j.cancel()
	if j.adapter != nil {
		j.adapter.users--
	}
	server.Recorded.Cancelled++
}

// abandon ends the job unless another connection resumes it within ResumeGrace.
func (server *Server) abandon(ownBoot *boot, j *job) {
	select {
	case <-server.clock.After(server.settings.ResumeGrace):
	case <-ownBoot.ctx.Done():
	}
	if !j.abandoned() {
		return
	}
	j.cancel()
	server.Lock()
	defer server.Unlock()
	for index, waiting := range j.replica.waiting {
		if waiting == j {
			j.replica.waiting = append(j.replica.waiting[:index:index], j.replica.waiting[index+1:]...)
			server.dropWaiting(j)
			server.freeIfIdle(j.replica)
			return
		}
	}
}

// jobLoad returns the load report of the replica of the job; it is zero if the replica is gone.
func (server *Server) jobLoad(j *job) loadReport {
	server.Lock()
	defer server.Unlock()
	name := upstream.CheckpointKey(j.replica.model, j.replica.version)
	if server.boot.replicas[name] != j.replica {
		return loadReport{}
	}
	return server.loadReport(name)
}

// heartbeatInterval returns the interval of heartbeats, or 24 h while they are muted.
func (server *Server) heartbeatInterval() time.Duration {
	server.Lock()
	defer server.Unlock()
	if server.ActiveFaults.Mute {
		return 24 * time.Hour
	}
	return server.settings.Heartbeat
}
