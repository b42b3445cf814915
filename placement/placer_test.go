package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/upstream"
)

const gigabyte = int64(1) << 30

var now = time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)

// models is a catalogue for tests.
type models map[string]catalogue.Model

// Model returns a model.
func (models models) Model(name string) (catalogue.Model, bool) {
	model, ok := models[name]
	return model, ok
}

func catalogueOf(all ...catalogue.Model) models {
	byName := models{}
	for _, model := range all {
		byName[model.Name] = model
	}
	return byName
}

func sized(name string, gigabytes int64) catalogue.Model {
	return catalogue.Model{Name: name, Version: "2", Weights: gigabytes * gigabyte}
}

func serving(model, version string, gigabytes int64, idle time.Duration) Replica {
	return Replica{Model: model, Version: version, Memory: gigabytes * gigabyte, Phase: Serving, LastUsed: now.Add(-idle)}
}

func newEngine(name string, capacity int64, replicas ...Replica) Upstream {
	engine := Upstream{Name: name, Role: upstream.Mixed, Capacity: capacity * gigabyte, Usable: true, Replicas: replicas}
	for _, replica := range replicas {
		engine.Charged += replica.Memory
	}
	return engine
}

func demandFor(model string, waiting int, within time.Duration) ModelDemand {
	return ModelDemand{Model: model, Waiting: waiting, Deadline: now.Add(within)}
}

func withCheckpoint(engine Upstream, model string, tier upstream.Tier) Upstream {
	engine.Checkpoints = map[string]upstream.Tier{upstream.CheckpointKey(model, "2"): tier}
	return engine
}

func busy(replica Replica, load int) Replica {
	replica.Load = load
	return replica
}

func inPhase(replica Replica, phase Phase) Replica {
	replica.Phase = phase
	return replica
}

func leaving(engine Upstream) Upstream {
	engine.Leaving = true
	return engine
}

func prefill(engine Upstream) Upstream {
	engine.Role = upstream.Prefill
	return engine
}

func unusable(engine Upstream) Upstream {
	engine.Usable = false
	return engine
}

func TestPass(t *testing.T) {
	wide := sized("wide", 10)
	wide.MaxReplicas = 4
	kept := sized("kept", 20)
	kept.MinReplicas = 1
	all := catalogueOf(sized("a", 20), sized("b", 20), sized("c", 20), wide, kept)
	tests := []struct {
		name  string
		input Input
		// noPermit states that no load may start from the weight store.
		noPermit bool
		// want has "verb upstream model@version" for each decision in order.
		want []string
		// obstacles has the expected obstacle by model; other models with an estimate are not
		// checked.
		obstacles map[string]Obstacle
	}{
		{
			name:      "burst loads once",
			input:     Input{Upstreams: []Upstream{newEngine("u1", 64), newEngine("u2", 64)}, Demands: []ModelDemand{demandFor("a", 3600, time.Second)}},
			want:      []string{"Load u1 a@2"},
			obstacles: map[string]Obstacle{"a": NoObstacle},
		},
		{
			name:  "demand for several replicas, up to the maximum",
			input: Input{Upstreams: []Upstream{newEngine("u1", 64), newEngine("u2", 64), newEngine("u3", 64)}, Demands: []ModelDemand{demandFor("wide", 40, time.Second)}},
			want:  []string{"Load u1 wide@2", "Load u2 wide@2", "Load u3 wide@2"},
		},
		{
			name: "a pending replica suffices",
			input: Input{
				Upstreams: []Upstream{newEngine("u1", 64, inPhase(serving("a", "2", 20, 0), Pending)), newEngine("u2", 64)},
				Demands:   []ModelDemand{demandFor("a", 5, time.Second)},
			},
		},
		{
			name: "memory before disk before remote",
			input: Input{Upstreams: []Upstream{
				newEngine("u1", 64), withCheckpoint(newEngine("u2", 64), "a", upstream.Disk),
				withCheckpoint(newEngine("u3", 64), "a", upstream.Memory),
			}, Demands: []ModelDemand{demandFor("a", 1, time.Second)}},
			want: []string{"Load u3 a@2"},
		},
		{
			name: "earliest deadline first, warm last",
			input: Input{
				Upstreams: []Upstream{newEngine("u1", 64), newEngine("u2", 64)}, WarmTargets: []WarmTarget{{"c", 1}},
				Demands: []ModelDemand{demandFor("b", 1, time.Minute), demandFor("a", 1, time.Second)},
			},
			want: []string{"Load u1 a@2", "Load u1 b@2", "Load u1 c@2"},
		},
		{
			name:      "no permit, no remote load",
			noPermit:  true,
			input:     Input{Upstreams: []Upstream{newEngine("u1", 64)}, Demands: []ModelDemand{demandFor("a", 1, time.Second)}},
			obstacles: map[string]Obstacle{"a": AwaitsPermit},
		},
		{
			name:     "a checkpoint on disk needs no permit",
			noPermit: true,
			input: Input{
				Upstreams: []Upstream{withCheckpoint(newEngine("u1", 64), "a", upstream.Disk)},
				Demands:   []ModelDemand{demandFor("a", 1, time.Second)},
			},
			want: []string{"Load u1 a@2"},
		},
		{
			name: "requests evict the longest idle, those to be kept warm last",
			input: Input{
				Upstreams:   []Upstream{newEngine("u1", 64, serving("b", "2", 20, 5*time.Second), serving("c", "2", 20, 8*time.Second), serving("kept", "2", 20, 9*time.Second))},
				WarmTargets: []WarmTarget{{"kept", 1}}, Demands: []ModelDemand{demandFor("a", 1, time.Second)},
			},
			want:      []string{"Unload u1 c@2"},
			obstacles: map[string]Obstacle{"a": AwaitsMemory},
		},
		{
			name: "one unload under way suffices",
			input: Input{
				Upstreams:   []Upstream{newEngine("u1", 64, serving("b", "2", 20, 5*time.Second), inPhase(serving("c", "2", 20, 0), BeingUnloaded), serving("kept", "2", 20, 9*time.Second))},
				WarmTargets: []WarmTarget{{"kept", 1}}, Demands: []ModelDemand{demandFor("a", 1, time.Second)},
			},
			obstacles: map[string]Obstacle{"a": AwaitsMemory},
		},
		{
			name: "busy replicas are not evicted",
			input: Input{
				Upstreams: []Upstream{newEngine("u1", 30, busy(serving("b", "2", 20, 0), 3))},
				Demands:   []ModelDemand{demandFor("a", 1, time.Second)},
			},
			obstacles: map[string]Obstacle{"a": NoRoom},
		},
		{
			name: "loads of warm replicas evict nothing that was used recently",
			input: Input{
				Upstreams:   []Upstream{newEngine("u1", 30, serving("b", "2", 20, time.Second))},
				WarmTargets: []WarmTarget{{"a", 1}},
			},
		},
		{
			name:  "idle replicas are unloaded after IdleAfter",
			input: Input{Upstreams: []Upstream{newEngine("u1", 64, serving("a", "2", 20, 11*time.Second), serving("b", "2", 20, 9*time.Second))}},
			want:  []string{"Unload u1 a@2"},
		},
		{
			name: "scaling down keeps twice the capacity that the load needs",
			input: Input{Upstreams: []Upstream{
				newEngine("u1", 64, serving("wide", "2", 10, time.Minute)), newEngine("u2", 64, serving("wide", "2", 10, time.Minute)),
				newEngine("u3", 64, serving("wide", "2", 10, time.Minute)),
			}, Demands: []ModelDemand{{Model: "wide", Running: 9}}},
			want: []string{"Unload u1 wide@2"},
		},
		{
			name:  "a new version is loaded beside the old one in use",
			input: Input{Upstreams: []Upstream{newEngine("u1", 64, busy(serving("a", "1", 20, 0), 2))}},
			want:  []string{"Load u1 a@2"},
		},
		{
			name:  "the old version serves until the new one does",
			input: Input{Upstreams: []Upstream{newEngine("u1", 64, busy(serving("a", "1", 20, 0), 2), inPhase(serving("a", "2", 20, 0), Pending))}},
		},
		{
			name:  "the old version is unloaded once the new one serves",
			input: Input{Upstreams: []Upstream{newEngine("u1", 64, busy(serving("a", "1", 20, 0), 2), serving("a", "2", 20, 0))}},
			want:  []string{"Unload u1 a@1"},
		},
		{
			name:  "an old version that is not used is unloaded",
			input: Input{Upstreams: []Upstream{newEngine("u1", 64, serving("a", "1", 20, time.Minute))}},
			want:  []string{"Unload u1 a@1"},
		},
		{
			name:  "a withdrawn model is unloaded also while it is busy",
			input: Input{Upstreams: []Upstream{newEngine("u1", 64, busy(serving("gone", "1", 20, 0), 2))}},
			want:  []string{"Unload u1 gone@1"},
		},
		{
			name:  "replicas on a leaving upstream are replaced",
			input: Input{Upstreams: []Upstream{leaving(newEngine("u1", 64, busy(serving("a", "2", 20, 0), 2))), newEngine("u2", 64)}},
			want:  []string{"Load u2 a@2"},
		},
		{
			name:      "nothing is loaded on a stale upstream",
			input:     Input{Upstreams: []Upstream{unusable(newEngine("u1", 64))}, Demands: []ModelDemand{demandFor("a", 1, time.Second)}},
			obstacles: map[string]Obstacle{"a": NoUpstream},
		},
		{
			name: "a replica whose unload may be lost prevents a load",
			input: Input{
				Upstreams: []Upstream{newEngine("u1", 64, inPhase(serving("a", "2", 20, 0), UnloadOrdered)), newEngine("u2", 64)},
				Demands:   []ModelDemand{demandFor("a", 1, time.Second)},
			},
			obstacles: map[string]Obstacle{"a": AwaitsMemory},
		},
		{
			name: "a restricted model waits for its upstream",
			input: Input{
				Upstreams: []Upstream{newEngine("u1", 64), newEngine("u2", 64)}, Demands: []ModelDemand{demandFor("a", 1, time.Second)},
				Assign: func(catalogue.Model) Assignment { return Assignment{Restricted: true, Upstream: "u2"} },
			},
			want: []string{"Load u2 a@2"},
		},
		{
			name: "one idle prefill engine serves both phases for models without room",
			input: Input{
				Upstreams: []Upstream{newEngine("u1", 10), prefill(newEngine("u2", 64, busy(serving("b", "2", 20, 0), 1))), prefill(newEngine("u3", 64)), prefill(newEngine("u4", 64))},
				Demands:   []ModelDemand{demandFor("a", 1, time.Second), demandFor("c", 1, time.Second)},
			},
			want:      []string{"ChangeRole u3 @"},
			obstacles: map[string]Obstacle{"a": AwaitsMemory, "c": AwaitsMemory},
		},
		{
			name:  "no role changes while other engines have room",
			input: Input{Upstreams: []Upstream{newEngine("u1", 64), prefill(newEngine("u2", 64))}, Demands: []ModelDemand{demandFor("a", 1, time.Second)}},
			want:  []string{"Load u1 a@2"},
		},
		{
			name:  "minimum replicas are loaded and kept",
			input: Input{Upstreams: []Upstream{newEngine("u1", 64, serving("kept", "2", 20, time.Hour))}, WarmTargets: []WarmTarget{{"kept", 1}}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.input.Now = now
			test.input.Models = all
			if !test.noPermit {
				test.input.FreePermits = 100
			}
			result := NewPlacer(Settings{}).Pass(test.input)
			var got []string
			for _, decision := range result.Decisions {
				got = append(got, fmt.Sprintf("%s %s %s@%s", decision.Verb, decision.Upstream, decision.Model, decision.Version))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("decided %v, want %v", got, test.want)
			}
			for _, outlook := range result.LoadEstimates {
				if want, given := test.obstacles[outlook.Model]; given && outlook.Obstacle != want {
					t.Errorf("%s: obstacle %d, want %d", outlook.Model, outlook.Obstacle, want)
				}
			}
		})
	}
}
