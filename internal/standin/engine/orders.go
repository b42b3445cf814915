package engine

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
	"github.com/bronzestall/bronzestall/upstream"
)

func (server *Server) serveOrder(writer http.ResponseWriter, request *http.Request) {
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

// HandleOrder executes the order, at most once for each identifier in one boot. It returns an error if the
// transfer of an adapter fails or the context ends first.
func (server *Server) HandleOrder(ctx context.Context, order upstream.Order) (upstream.Verdict, error) {
	server.Lock()
	current := server.boot
	if verdict := server.checkFencing(order); verdict != upstream.Accepted {
		server.Unlock()
		return verdict, nil
	}
	if verdict, done := current.orders[order.ID]; done {
		server.Unlock()
		return verdict, nil
	}
	if order.Verb == upstream.LoadAdapter {
		server.Unlock()
		return server.loadAdapter(ctx, current, order)
	}
	defer server.Unlock()
	verdict := server.apply(order)
	if verdict == upstream.Accepted {
		current.orders[order.ID] = verdict
	}
	return verdict, nil
}

// checkFencing rejects orders for another boot or with an old fencing number. The caller must hold the mutex.
func (server *Server) checkFencing(order upstream.Order) upstream.Verdict {
	if !server.settings.ChecksFencing {
		return upstream.Accepted
	}
	current := server.boot
	if order.BootID != "" && order.BootID != current.id {
		return upstream.WrongBoot
	}
	if order.Fence < current.fence {
		server.Recorded.Fenced++
		return upstream.Fenced
	}
	current.fence = order.Fence
	return upstream.Accepted
}

func (server *Server) apply(order upstream.Order) upstream.Verdict {
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

// beginLoad starts a load in the background. The caller must hold the mutex.
func (server *Server) beginLoad(order upstream.Order) upstream.Verdict {
	current := server.boot
	name := upstream.CheckpointKey(order.Model, order.Version)
	existing := current.replicas[name]
	if server.ActiveFaults.Leaving {
		server.Recorded.AfterLeaving++
		return upstream.EngineLeaving
	}
	if existing != nil && (existing.phase == upstream.Loading || existing.phase == upstream.Ready) {
		return upstream.Accepted
	}
	fits := current.usedMemory()+order.Memory <= server.settings.Capacity
	if !fits || (existing != nil && existing.phase == upstream.Unloading) {
		server.Recorded.OvercommitAttempts++
		return upstream.NoMemory
	}
	r := &replica{
		model: order.Model, version: order.Version, order: order.ID, phase: upstream.Loading,
		memory: order.Memory, slots: cmp.Or(order.AdapterSlots, server.settings.AdapterSlots),
	}
	current.replicas[name] = r
	current.loading++
	server.Recorded.Loads[name]++
	server.Recorded.LoadsPeak = max(server.Recorded.LoadsPeak, current.loading)
	server.Recorded.MemoryPeak = max(server.Recorded.MemoryPeak, current.usedMemory())
	go server.loadWeights(current, r, name)
	return upstream.Accepted
}

// loadWeights loads the weights of one replica from the fastest tier that holds them.
func (server *Server) loadWeights(ownBoot *boot, r *replica, name string) {
	err := server.transfer(ownBoot, name, r.memory)
	failed := err != nil || server.ConsumeFault(func(faults *Faults) *int { return &faults.FailLoads })
	server.Lock()
	defer server.Unlock()
	ownBoot.loading--
	if failed {
		r.phase = upstream.Failed
		r.memory = 0
		return
	}
	r.phase = upstream.Ready
	ownBoot.memory.put(name, r.memory)
	server.disk.put(name, r.memory)
}

func (server *Server) transfer(ownBoot *boot, name string, bytes int64) error {
	server.Lock()
	inMemory := ownBoot.memory.touch(name)
	onDisk := server.disk.touch(name)
	server.Unlock()
	switch {
	case inMemory:
		return server.wait(ownBoot.ctx, bytes, server.settings.MemorySpeed)
	case onDisk:
		return server.wait(ownBoot.ctx, bytes, server.settings.DiskSpeed)
	}
	if err := server.settings.Fetch(ownBoot.ctx, name, bytes, false); err != nil {
		return err
	}
	return server.wait(ownBoot.ctx, bytes, server.settings.MemorySpeed)
}

func (server *Server) wait(ctx context.Context, bytes, speed int64) error {
	duration := time.Duration(float64(bytes) / float64(speed) * float64(time.Second))
	select {
	case <-server.clock.After(server.slowed(duration)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unload frees the memory of a replica after its requests have finished. The caller must hold the mutex.
func (server *Server) unload(order upstream.Order) upstream.Verdict {
	name := upstream.CheckpointKey(order.Model, order.Version)
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
		delete(server.boot.replicas, upstream.CheckpointKey(r.model, r.version))
	}
}

// loadAdapter loads an adapter into a slot and returns when it is ready.
func (server *Server) loadAdapter(ctx context.Context, ownBoot *boot, order upstream.Order) (upstream.Verdict, error) {
	target, mustTransfer, verdict := server.reserveSlot(ownBoot, order)
	if verdict != upstream.Accepted {
		return verdict, nil
	}
	if mustTransfer {
		err := server.settings.Fetch(ownBoot.ctx, order.Model+":"+order.Adapter, 0, true)
		server.finishTransfer(ownBoot, order, target, err)
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

// reserveSlot returns the adapter of the order and whether the caller must transfer it.
func (server *Server) reserveSlot(ownBoot *boot, order upstream.Order) (target *adapter, mustTransfer bool, verdict upstream.Verdict) {
	server.Lock()
	defer server.Unlock()
	r := ownBoot.find(order.Model, "")
	if r == nil {
		return nil, false, upstream.NoSubject
	}
	existing := r.adapter(order.Adapter)
	if existing != nil && existing.version == order.Version {
		return existing, false, upstream.Accepted
	}
	if existing != nil && existing.users == 0 && isClosed(existing.ready) {
		r.removeAdapter(existing)
	}
	if r.adapter(order.Adapter) != nil || !r.freeSlot() {
		return nil, false, upstream.NoMemory
	}
	target = &adapter{name: order.Adapter, version: order.Version, ready: make(chan struct{})}
	r.adapters = append(r.adapters, target)
	server.Recorded.Adapters++
	return target, true, upstream.Accepted
}

func (server *Server) finishTransfer(ownBoot *boot, order upstream.Order, target *adapter, err error) {
	server.Lock()
	defer server.Unlock()
	if err != nil {
		target.failed = true
		if r := ownBoot.find(order.Model, ""); r != nil {
			r.removeAdapter(target)
		}
	} else {
		ownBoot.orders[order.ID] = upstream.Accepted
	}
	close(target.ready)
}

func (server *Server) unloadAdapter(order upstream.Order) upstream.Verdict {
	r := server.boot.find(order.Model, "")
	if r == nil {
		return upstream.NoSubject
	}
	removed := r.adapter(order.Adapter)
	if removed == nil || removed.users > 0 {
		return upstream.NoSubject
	}
	r.removeAdapter(removed)
	return upstream.Accepted
}
