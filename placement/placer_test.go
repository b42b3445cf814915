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
	found := models{}
	for _, model := range all {
		found[model.Name] = model
	}
	return found
}

func sized(name string, gigabytes int64) catalogue.Model {
	return catalogue.Model{Name: name, Version: "2", Weights: gigabytes * gigabyte}
}

func serving(model, version string, gigabytes int64, idle time.Duration) Replica {
	return Replica{Model: model, Version: version, Memory: gigabytes * gigabyte, Phase: Serving, LastUsed: now.Add(-idle)}
}

func machine(name string, capacity int64, replicas ...Replica) Upstream {
	found := Upstream{Name: name, Role: upstream.Mixed, Capacity: capacity * gigabyte, Usable: true, Replicas: replicas}
	for _, replica := range replicas {
		found.Charged += replica.Memory
	}
	return found
}

func need(model string, waiting int, within time.Duration) Need {
	return Need{Model: model, Waiting: waiting, Deadline: now.Add(within)}
}

func withCheckpoint(found Upstream, model string, tier upstream.Tier) Upstream {
	found.Checkpoints = map[string]upstream.Tier{upstream.CheckpointKey(model, "2"): tier}
	return found
}

func busy(replica Replica, load int) Replica {
	replica.Load = load
	return replica
}

func inPhase(replica Replica, phase Phase) Replica {
	replica.Phase = phase
	return replica
}

func leaving(found Upstream) Upstream {
	found.Leaving = true
	return found
}

func prefill(found Upstream) Upstream {
	found.Role = upstream.Prefill
	return found
}

func unusable(found Upstream) Upstream {
	found.Usable = false
	return found
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
		// obstacles has the obstacle for each model that has an outlook.
		obstacles map[string]Obstacle
	}{
		{
			name:      "burst loads once",
			input:     Input{Upstreams: []Upstream{machine("u1", 64), machine("u2", 64)}, Needs: []Need{need("a", 3600, time.Second)}},
			want:      []string{"Load u1 a@2"},
			obstacles: map[string]Obstacle{"a": NoObstacle},
		},
		{
			name:  "demand decides more up to the maximum",
			input: Input{Upstreams: []Upstream{machine("u1", 64), machine("u2", 64), machine("u3", 64)}, Needs: []Need{need("wide", 40, time.Second)}},
			want:  []string{"Load u1 wide@2", "Load u2 wide@2", "Load u3 wide@2"},
		},
		{
			name: "a replica on its way is enough",
			input: Input{
				Upstreams: []Upstream{machine("u1", 64, inPhase(serving("a", "2", 20, 0), Coming)), machine("u2", 64)},
				Needs:     []Need{need("a", 5, time.Second)},
			},
		},
		{
			name: "memory before disk before remote",
			input: Input{Upstreams: []Upstream{
				machine("u1", 64), withCheckpoint(machine("u2", 64), "a", upstream.Disk),
				withCheckpoint(machine("u3", 64), "a", upstream.Memory),
			}, Needs: []Need{need("a", 1, time.Second)}},
			want: []string{"Load u3 a@2"},
		},
		{
			name: "earliest deadline first, warm last",
			input: Input{
				Upstreams: []Upstream{machine("u1", 64), machine("u2", 64)}, Warm: []Warm{{"c", 1}},
				Needs: []Need{need("b", 1, time.Minute), need("a", 1, time.Second)},
			},
			want: []string{"Load u1 a@2", "Load u1 b@2", "Load u1 c@2"},
		},
		{
			name:      "no permit, no remote load",
			noPermit:  true,
			input:     Input{Upstreams: []Upstream{machine("u1", 64)}, Needs: []Need{need("a", 1, time.Second)}},
			obstacles: map[string]Obstacle{"a": AwaitsPermit},
		},
		{
			name:     "a checkpoint on disk needs no permit",
			noPermit: true,
			input: Input{
				Upstreams: []Upstream{withCheckpoint(machine("u1", 64), "a", upstream.Disk)},
				Needs:     []Need{need("a", 1, time.Second)},
			},
			want: []string{"Load u1 a@2"},
		},
		{
			name: "requests push out the longest idle, wished ones last",
			input: Input{
				Upstreams: []Upstream{machine("u1", 64, serving("b", "2", 20, 5*time.Second), serving("c", "2", 20, 8*time.Second), serving("kept", "2", 20, 9*time.Second))},
				Warm:      []Warm{{"kept", 1}}, Needs: []Need{need("a", 1, time.Second)},
			},
			want:      []string{"Unload u1 c@2"},
			obstacles: map[string]Obstacle{"a": AwaitsMemory},
		},
		{
			name: "one unload on its way is enough",
			input: Input{
				Upstreams: []Upstream{machine("u1", 64, serving("b", "2", 20, 5*time.Second), inPhase(serving("c", "2", 20, 0), Going), serving("kept", "2", 20, 9*time.Second))},
				Warm:      []Warm{{"kept", 1}}, Needs: []Need{need("a", 1, time.Second)},
			},
			obstacles: map[string]Obstacle{"a": AwaitsMemory},
		},
		{
			name: "busy replicas stay",
			input: Input{
				Upstreams: []Upstream{machine("u1", 30, busy(serving("b", "2", 20, 0), 3))},
				Needs:     []Need{need("a", 1, time.Second)},
			},
			obstacles: map[string]Obstacle{"a": NoRoom},
		},
		{
			name: "warm-ups push out nothing that is in use",
			input: Input{
				Upstreams: []Upstream{machine("u1", 30, serving("b", "2", 20, time.Second))},
				Warm:      []Warm{{"a", 1}},
			},
		},
		{
			name:  "idle replicas go after the hysteresis",
			input: Input{Upstreams: []Upstream{machine("u1", 64, serving("a", "2", 20, 11*time.Second), serving("b", "2", 20, 9*time.Second))}},
			want:  []string{"Unload u1 a@2"},
		},
		{
			name: "scaling down keeps twice the capacity that the load needs",
			input: Input{Upstreams: []Upstream{
				machine("u1", 64, serving("wide", "2", 10, time.Minute)), machine("u2", 64, serving("wide", "2", 10, time.Minute)),
				machine("u3", 64, serving("wide", "2", 10, time.Minute)),
			}, Needs: []Need{{Model: "wide", Running: 9}}},
			want: []string{"Unload u1 wide@2"},
		},
		{
			name:  "a new version is loaded beside the old one in use",
			input: Input{Upstreams: []Upstream{machine("u1", 64, busy(serving("a", "1", 20, 0), 2))}},
			want:  []string{"Load u1 a@2"},
		},
		{
			name:  "the old version serves until the new one does",
			input: Input{Upstreams: []Upstream{machine("u1", 64, busy(serving("a", "1", 20, 0), 2), inPhase(serving("a", "2", 20, 0), Coming))}},
		},
		{
			name:  "the old version goes once the new one serves",
			input: Input{Upstreams: []Upstream{machine("u1", 64, busy(serving("a", "1", 20, 0), 2), serving("a", "2", 20, 0))}},
			want:  []string{"Unload u1 a@1"},
		},
		{
			name:  "an old version that nobody uses goes",
			input: Input{Upstreams: []Upstream{machine("u1", 64, serving("a", "1", 20, time.Minute))}},
			want:  []string{"Unload u1 a@1"},
		},
		{
			name:  "a withdrawn model goes also while it is busy",
			input: Input{Upstreams: []Upstream{machine("u1", 64, busy(serving("gone", "1", 20, 0), 2))}},
			want:  []string{"Unload u1 gone@1"},
		},
		{
			name:  "replicas on a leaving upstream are replaced",
			input: Input{Upstreams: []Upstream{leaving(machine("u1", 64, busy(serving("a", "2", 20, 0), 2))), machine("u2", 64)}},
			want:  []string{"Load u2 a@2"},
		},
		{
			name:      "nothing is loaded on a stale upstream",
			input:     Input{Upstreams: []Upstream{unusable(machine("u1", 64))}, Needs: []Need{need("a", 1, time.Second)}},
			obstacles: map[string]Obstacle{"a": NoUpstream},
		},
		{
			name: "a replica whose unload may be lost stands in the way",
			input: Input{
				Upstreams: []Upstream{machine("u1", 64, inPhase(serving("a", "2", 20, 0), Retiring)), machine("u2", 64)},
				Needs:     []Need{need("a", 1, time.Second)},
			},
			obstacles: map[string]Obstacle{"a": AwaitsMemory},
		},
		{
			name: "a restricted model waits for its upstream",
			input: Input{
				Upstreams: []Upstream{machine("u1", 64), machine("u2", 64)}, Needs: []Need{need("a", 1, time.Second)},
				Assigned: func(catalogue.Model) Assignment { return Assignment{Restricted: true, Upstream: "u2"} },
			},
			want: []string{"Load u2 a@2"},
		},
		{
			name: "one idle prefill engine serves both phases for what has no room",
			input: Input{
				Upstreams: []Upstream{machine("u1", 10), prefill(machine("u2", 64, busy(serving("b", "2", 20, 0), 1))), prefill(machine("u3", 64)), prefill(machine("u4", 64))},
				Needs:     []Need{need("a", 1, time.Second), need("c", 1, time.Second)},
			},
			want:      []string{"ChangeRole u3 @"},
			obstacles: map[string]Obstacle{"a": AwaitsMemory, "c": AwaitsMemory},
		},
		{
			name:  "roles stay while others have room",
			input: Input{Upstreams: []Upstream{machine("u1", 64), prefill(machine("u2", 64))}, Needs: []Need{need("a", 1, time.Second)}},
			want:  []string{"Load u1 a@2"},
		},
		{
			name:  "minimum replicas are loaded and kept",
			input: Input{Upstreams: []Upstream{machine("u1", 64, serving("kept", "2", 20, time.Hour))}, Warm: []Warm{{"kept", 1}}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.input.Now = now
			test.input.Models = all
			if !test.noPermit {
				test.input.Starts = 100
			}
			result := NewPlacer(Settings{}).Pass(test.input)
			var got []string
			for _, decision := range result.Decisions {
				got = append(got, fmt.Sprintf("%s %s %s@%s", decision.Verb, decision.Upstream, decision.Model, decision.Version))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("decided %v, want %v", got, test.want)
			}
			for _, outlook := range result.Outlooks {
				if want, given := test.obstacles[outlook.Model]; given && outlook.Obstacle != want {
					t.Errorf("%s: obstacle %d, want %d", outlook.Model, outlook.Obstacle, want)
				}
			}
		})
	}
}
