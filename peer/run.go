package peer

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bronzestall/bronzestall/boundedqueue"
)

// urgentGap is the part of an interval that passes between two urgent rounds.
const urgentGap = 10

// remoteRounds is the number of rounds for each exchange with another data
// centre in large ones.
const remoteRounds = 2

// Run exchanges with the members until the context ends. It must be called once.
func (node *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	tasks := boundedqueue.New[task](node.settings.Calls)
	for range node.settings.Calls {
		group.Go(func() error { return node.work(ctx, tasks) })
	}
	group.Go(func() error { return node.plan(ctx, tasks) })
	return group.Wait()
}

// work does one exchange after the other.
func (node *Node) work(ctx context.Context, tasks *boundedqueue.Queue[task]) error {
	for {
		task, err := tasks.Take(ctx)
		if err != nil {
			return err
		}
		node.exchange(ctx, task)
	}
}

// plan starts a round in each interval, and sooner for urgent changes. It
// begins at a random part of the interval, so that daemons which started
// together do not call each other at the same time.
func (node *Node) plan(ctx context.Context, tasks *boundedqueue.Queue[task]) error {
	node.pause(ctx, node.randomPart())
	ticker := node.clock.NewTicker(node.settings.Every)
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
		for _, task := range node.round(urgent) {
			if err := tasks.Put(ctx, task); err != nil {
				return err
			}
		}
		if urgent {
			node.pause(ctx, node.settings.Every/urgentGap)
		}
	}
}

// randomPart returns a random part of an interval.
func (node *Node) randomPart() time.Duration {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return time.Duration(node.random.Int64N(int64(node.settings.Every)))
}

func (node *Node) pause(ctx context.Context, length time.Duration) {
	timer := node.clock.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}

// round returns the exchanges to do now and marks their links as busy.
func (node *Node) round(urgent bool) []task {
	members := slices.Clone(node.settings.Members.Members())
	slices.SortFunc(members, compareMembers)
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now := node.clock.Now()
	node.forget(now, members)
	near, far := node.divide(members)
	var tasks []task
	way := node.settings.Way.among(len(near))
	if urgent || way == Mesh {
		tasks = node.meshTasks(near, urgent, now)
	}
	if urgent {
		return tasks
	}
	node.beat()
	if way == Digests {
		for range node.settings.Fanout {
			tasks = append(tasks, node.randomTask(near, now)...)
		}
	}
	node.rounds++
	if way == Digests && node.rounds%remoteRounds != 0 {
		return tasks
	}
	return append(tasks, node.randomTask(node.remote(far), now)...)
}

// beat raises the own version, so that records passed on tell that the daemon lives.
func (node *Node) beat() {
	next := node.self.record
	next.Version++
	node.self.replace(next)
}

// divide splits the members into those of the own data centre and others, without this daemon.
func (node *Node) divide(members []Member) (near, far []Member) {
	for _, member := range members {
		if member.DataCentre == "" {
			if held, ok := node.others[member.Name]; ok {
				member.DataCentre = held.record.DataCentre
			}
		}
		switch {
		case member.Name == node.settings.Name:
		case member.DataCentre == node.settings.DataCentre:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	return near, far
}

// meshTasks returns an exchange with every member that is due.
func (node *Node) meshTasks(members []Member, urgent bool, now time.Time) []task {
	var tasks []task
	for _, member := range members {
		link := node.link(member.Name)
		recent := now.Sub(link.exchanged) < node.settings.Every*3/4
		if recent && !urgent || !node.start(link, now) {
			continue
		}
		tasks = append(tasks, task{member: member})
	}
	return tasks
}

// remote returns the members of the data centre whose turn it is.
func (node *Node) remote(members []Member) []Member {
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
	name := names[node.turn%len(names)]
	node.turn++
	return slices.DeleteFunc(members, func(member Member) bool { return member.DataCentre != name })
}

// randomTask returns an exchange of all records with one of the members, or none.
func (node *Node) randomTask(members []Member, now time.Time) []task {
	if len(members) == 0 {
		return nil
	}
	member := members[node.random.IntN(len(members))]
	if !node.start(node.link(member.Name), now) {
		return nil
	}
	return []task{{member: member, all: true}}
}

// start marks the link as busy unless it is busy or rests.
func (node *Node) start(link *link, now time.Time) bool {
	if link.busy || now.Before(link.resting) {
		return false
	}
	link.busy = true
	return true
}
