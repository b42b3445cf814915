package front

import (
	"fmt"
	"testing"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/roster"
	"github.com/bronzestall/bronzestall/topology"
)

// BenchmarkApply measures the cost of one change of the replica table by the number of replicas.
func BenchmarkApply(b *testing.B) {
	for _, count := range []int{300, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			daemon := New(Settings{Name: "a", StoreAddress: "127.0.0.1:1"}, "", nil)
			var entries []roster.Entry
			for index := range count {
				entries = append(entries, roster.Entry{Version: 1, Replica: topology.Replica{
					Incarnation: topology.Incarnation{ID: fmt.Sprintf("i-%08x", index*7919), Started: int64(index)},
					Service:     "s", Address: fmt.Sprintf("10.0.%d.%d:80", index/250, index%250), Zone: fmt.Sprint("z", index%5), Slots: 48,
					Holding: topology.Holding{Models: []topology.LoadedModel{{Model: fmt.Sprint("m", index%185)}, {Model: fmt.Sprint("m", index%7)}}},
				}})
			}
			daemon.roster.Replace(entries, 1, daemon.clock.Now())
			last := daemon.apply(nil)
			b.ReportAllocs()
			version := datastore.Version(1)
			for b.Loop() {
				version++
				next := entries[int(version)%count]
				next.Version = version
				next.Replica.Draining = version%2 == 0
				daemon.roster.Put(next)
				last = daemon.apply(last)
			}
			_ = daemon.directory.Holders(demand.Key{Service: "s", Model: "m1"})
		})
	}
}

// BenchmarkPruneReplicas measures the step of housekeeping that drops the state of removed replicas.
func BenchmarkPruneReplicas(b *testing.B) {
	daemon := New(Settings{Name: "a", StoreAddress: "127.0.0.1:1"}, "", nil)
	var entries []roster.Entry
	for index := range 3000 {
		entries = append(entries, roster.Entry{Version: 1, Replica: topology.Replica{Incarnation: topology.Incarnation{ID: fmt.Sprint("i", index)}}})
	}
	daemon.roster.Replace(entries, 1, daemon.clock.Now())
	b.ReportAllocs()
	for b.Loop() {
		daemon.pruneReplicas(daemon.roster.Entries())
	}
}
