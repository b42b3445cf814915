package peer

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bronzestall/bronzestall/boundedqueue"
)

// urgentGapDivisor is the fraction of an interval that is waited after an urgent round: one tenth.
const urgentGapDivisor = 10

// roundsPerRemoteExchange is the number of rounds for each exchange with another data centre, by Gossip.
const roundsPerRemoteExchange = 2

// Run exchanges records with the members until the context ends. It must be called only once.
func (node *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	tasks := boundedqueue.New[task](node.settings.MaxCalls)
	for range node.settings.MaxCalls {
		group.Go(func() error { return node.runWorker(ctx, tasks) })
	}
	group.Go(func() error { return node.scheduleRounds(ctx, tasks) })
	return group.Wait()
}

// runWorker makes the exchanges of the tasks one after another.
func (node *Node) runWorker(ctx context.Context, tasks *boundedqueue.Queue[task]) error {
	for {
		task, err := tasks.Take(ctx)
		if err != nil {
			return err
		}
		node.exchange(ctx, task)
	}
}

// scheduleRounds starts a round in each interval, and sooner for urgent changes. It begins at a random offset, so
// that daemons that started together do not call each other at the same time.
func (node *Node) scheduleRounds(ctx context.Context, tasks *boundedqueue.Queue[task]) error {
	node.wait(ctx, node.randomOffset())
	ticker := node.clock.NewTicker(node.settings.Interval)
	defer ticker.Stop()
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		case <-node.urgent:
			urgent = true
		}
		for _, task := range node.startRound(urgent) {
			if err := tasks.Put(ctx, task); err != nil {
				return err
			}
		}
		if urgent {
			node.wait(ctx, node.settings.Interval/urgentGapDivisor)
		}
	}
}

// randomOffset returns a random duration below the interval.
func (node *Node) randomOffset() time.Duration {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return time.Duration(node.random.Int64N(int64(node.settings.Interval)))
}

// wait waits for the duration or until the context ends.
func (node *Node) wait(ctx context.Context, duration time.Duration) {
	timer := node.clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}

// startRound returns the exchanges to make now and marks their links as in flight.
func (node *Node) startRound(urgent bool) []task {
	members := slices.Clone(node.settings.Members.Members())
	slices.SortFunc(members, compareMembers)
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now := node.clock.Now()
	node.removeSilent(now, members)
	local, remote := node.splitByDataCentre(members)
	var tasks []task
	mode := node.settings.Mode.resolve(len(local))
	if urgent || mode == FullMesh {
		tasks = node.dueTasks(local, urgent, now)
	}
	if urgent {
		return tasks
	}
	node.raiseVersion()
	if mode == Gossip {
		for range node.settings.Fanout {
			tasks = append(tasks, node.randomTask(local, now)...)
		}
	}
	node.regularRounds++
	if mode == Gossip && node.regularRounds%roundsPerRemoteExchange != 0 {
		return tasks
	}
	return append(tasks, node.randomTask(node.nextDataCentre(remote), now)...)
}

// raiseVersion raises the version of this daemon's record without a change. It acts as a heartbeat: other daemons
// relay a new version and thereby see that this daemon is live.
func (node *Node) raiseVersion() {
	next := node.self.record
	next.Version++
	node.self.replace(next)
}

// splitByDataCentre splits the members into those of this data centre, without this daemon, and those of others.
func (node *Node) splitByDataCentre(members []Member) (local, remote []Member) {
	for _, member := range members {
		if member.DataCentre == "" {
			if entry, ok := node.others[member.Name]; ok {
				member.DataCentre = entry.record.DataCentre
			}
		}
		switch {
		case member.Name == node.settings.Name:
		case member.DataCentre == node.settings.DataCentre:
			local = append(local, member)
		default:
			remote = append(remote, member)
		}
	}
	return local, remote
}

// dueTasks returns an exchange with each member that had none recently. Urgent exchanges are always due.
func (node *Node) dueTasks(members []Member, urgent bool, now time.Time) []task {
	var tasks []task
	for _, member := range members {
		link := node.link(member.Name)
		recent := now.Sub(link.lastExchange) < node.settings.Interval*3/4
		if recent && !urgent || !node.startCall(link, now) {
			continue
		}
		tasks = append(tasks, task{member: member})
	}
	return tasks
}

// nextDataCentre returns the members of the next of the other data centres in rotation.
func (node *Node) nextDataCentre(members []Member) []Member {
	var names []string
	for _, member := range members {
		if !slices.Contains(names, member.DataCentre) {
			names = append(names, member.DataCentre)
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	name := names[node.remoteExchanges%len(names)]
	node.remoteExchanges++
	return slices.DeleteFunc(members, func(member Member) bool { return member.DataCentre != name })
}

// randomTask returns an exchange of all records with a random member, or none if it cannot be called now.
func (node *Node) randomTask(members []Member, now time.Time) []task {
	if len(members) == 0 {
		return nil
	}
	member := members[node.random.IntN(len(members))]
	if !node.startCall(node.link(member.Name), now) {
		return nil
	}
	return []task{{member: member, all: true}}
}

// startCall marks the link as in flight. It reports false if it is in flight already or in backoff.
func (node *Node) startCall(link *link, now time.Time) bool {
	if link.inFlight || now.Before(link.backoffUntil) {
		return false
	}
	link.inFlight = true
	return true
}
