package engine

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
	"github.com/bronzestall/bronzestall/upstream"
)

func (server *Server) takeOrder(writer http.ResponseWriter, request *http.Request) {
	var order upstream.Order
	if !answer.Decode(writer, request, &order) {
		return
	}
	verdict, err := server.HandleOrder(request.Context(), order)
	if server.ConsumeFault(func(faults *Faults) *int { return &faults.LoseOrderAnswers }) {
		answer.AbortConnection()
	}
	if err != nil {
		answer.JSON(writer, http.StatusServiceUnavailable, struct{ Reason string }{err.Error()})
		return
	}
	answer.JSON(writer, http.StatusOK, struct{ Verdict upstream.Verdict }{verdict})
}

// HandleOrder does the order, at most once for each identifier in one boot. It fails if a transfer fails.
func (server *Server) HandleOrder(ctx context.Context, order upstream.Order) (upstream.Verdict, error) {
	server.Lock()
	life := server.boot
	if verdict := server.check(order); verdict != upstream.Accepted {
		server.Unlock()
		return verdict, nil
	}
	if verdict, done := life.orders[order.ID]; done {
		server.Unlock()
		return verdict, nil
	}
	if order.Verb == upstream.LoadAdapter {
		server.Unlock()
		return server.loadAdapter(ctx, life, order)
	}
	defer server.Unlock()
	verdict := server.do(order)
	if verdict == upstream.Accepted {
		life.orders[order.ID] = verdict
	}
	return verdict, nil
}

// check applies fencing and boot. The lock is held.
func (server *Server) check(order upstream.Order) upstream.Verdict {
	if !server.settings.ChecksFencing {
		return upstream.Accepted
	}
	life := server.boot
	if order.BootID != "" && order.BootID != life.id {
		return upstream.WrongBoot
	}
	if order.Fence < life.fence {
		server.Recorded.Fenced++
		return upstream.Fenced
	}
	life.fence = order.Fence
	return upstream.Accepted
}

func (server *Server) do(order upstream.Order) upstream.Verdict {
	switch order.Verb {
	case upstream.Load:
		return server.beginLoad(order)
	case upstream.Unload:
		return server.unload(order)
	case upstream.UnloadAdapter:
		return server.unloadAdapter(order)
	case upstream.ChangeRole:
		server.boot.role = order.Role
	}
	return upstream.Accepted
}

// beginLoad starts a load that goes on by itself. The lock is held.
func (server *Server) beginLoad(order upstream.Order) upstream.Verdict {
	life := server.boot
	name := upstream.Checkpoint(order.Model, order.Version)
	existing := life.replicas[name]
	if server.ActiveFaults.Leaving {
		server.Recorded.AfterLeaving++
		return upstream.EngineLeaving
	}
	if existing != nil && (existing.phase == upstream.Loading || existing.phase == upstream.Ready) {
		return upstream.Accepted
	}
	fits := life.used()+order.Memory <= server.settings.Capacity
	if !fits || (existing != nil && existing.phase == upstream.Unloading) {
		server.Recorded.OvercommitAttempts++
		return upstream.NoMemory
	}
	r := &replica{
		model: order.Model, version: order.Version, order: order.ID, phase: upstream.Loading,
		memory: order.Memory, slots: cmp.Or(order.AdapterSlots, server.settings.AdapterSlots),
	}
	life.replicas[name] = r
	life.loading++
	server.Recorded.Loads[name]++
	server.Recorded.LoadsPeak = max(server.Recorded.LoadsPeak, life.loading)
	server.Recorded.MemoryPeak = max(server.Recorded.MemoryPeak, life.used())
	go server.bring(life, r, name)
	return upstream.Accepted
}

// bring brings the weights of one replica from the fastest tier that has them.
func (server *Server) bring(life *boot, r *replica, name string) {
	err := server.transfer(life, name, r.memory)
	failed := err != nil || server.ConsumeFault(func(faults *Faults) *int { return &faults.FailLoads })
	server.Lock()
	defer server.Unlock()
	life.loading--
	if failed {
		r.phase = upstream.Failed
		r.memory = 0
		return
	}
	r.phase = upstream.Ready
	life.memory.put(name, r.memory)
	server.disk.put(name, r.memory)
}

func (server *Server) transfer(life *boot, name string, bytes int64) error {
	server.Lock()
	inMemory := life.memory.touch(name)
	onDisk := server.disk.touch(name)
	server.Unlock()
	switch {
	case inMemory:
		return server.wait(life.ctx, bytes, server.settings.MemorySpeed)
	case onDisk:
		return server.wait(life.ctx, bytes, server.settings.DiskSpeed)
	}
	if err := server.settings.Fetch(life.ctx, name, bytes, false); err != nil {
		return err
	}
	return server.wait(life.ctx, bytes, server.settings.MemorySpeed)
}

func (server *Server) wait(ctx context.Context, bytes, speed int64) error {
	duration := time.Duration(float64(bytes) / float64(speed) * float64(time.Second))
	select {
	case <-server.clock.After(server.slow(duration)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unload lets the requests of a replica finish and frees its memory then. The lock is held.
func (server *Server) unload(order upstream.Order) upstream.Verdict {
	name := upstream.Checkpoint(order.Model, order.Version)
	r := server.boot.replicas[name]
	if r == nil || r.phase == upstream.Loading {
		return upstream.NoSubject
	}
	r.phase = upstream.Unloading
	server.freeIfIdle(r)
	return upstream.Accepted
}

func (server *Server) freeIfIdle(r *replica) {
	if r.phase == upstream.Unloading && r.idle() {
		delete(server.boot.replicas, upstream.Checkpoint(r.model, r.version))
	}
}

// loadAdapter puts an adapter in a slot and returns once it is there.
func (server *Server) loadAdapter(ctx context.Context, life *boot, order upstream.Order) (upstream.Verdict, error) {
	target, mine, verdict := server.reserve(life, order)
	if verdict != upstream.Accepted {
		return verdict, nil
	}
	if mine {
		err := server.settings.Fetch(life.ctx, order.Model+":"+order.Adapter, 0, true)
		server.settle(life, order, target, err)
	}
	select {
	case <-target.ready:
	case <-ctx.Done():
		return "", ctx.Err()
	}
	if target.failed {
		return "", errTransfer
	}
	return upstream.Accepted, nil
}

// reserve returns the adapter of the order and whether the caller must transfer it.
func (server *Server) reserve(life *boot, order upstream.Order) (target *adapter, mine bool, verdict upstream.Verdict) {
	server.Lock()
	defer server.Unlock()
	r := life.find(order.Model, "")
	if r == nil {
		return nil, false, upstream.NoSubject
	}
	existing := r.adapter(order.Adapter)
	if existing != nil && existing.version == order.Version {
		return existing, false, upstream.Accepted
	}
	if existing != nil && existing.busy == 0 && isClosed(existing.ready) {
		r.drop(existing)
	}
	if r.adapter(order.Adapter) != nil || !r.makeRoom() {
		return nil, false, upstream.NoMemory
	}
	target = &adapter{name: order.Adapter, version: order.Version, ready: make(chan struct{})}
	r.adapters = append(r.adapters, target)
	server.Recorded.Adapters++
	return target, true, upstream.Accepted
}

func (server *Server) settle(life *boot, order upstream.Order, target *adapter, err error) {
	server.Lock()
	defer server.Unlock()
	if err != nil {
		target.failed = true
		if r := life.find(order.Model, ""); r != nil {
			r.drop(target)
		}
	} else {
		life.orders[order.ID] = upstream.Accepted
	}
	close(target.ready)
}

func (server *Server) unloadAdapter(order upstream.Order) upstream.Verdict {
	r := server.boot.find(order.Model, "")
	if r == nil {
		return upstream.NoSubject
	}
	gone := r.adapter(order.Adapter)
	if gone == nil || gone.busy > 0 {
		return upstream.NoSubject
	}
	r.drop(gone)
	return upstream.Accepted
}
