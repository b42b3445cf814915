package catalogue

import (
	"encoding/json"
	"testing"

	"github.com/bronzestall/bronzestall/internal/golden"
)

func TestSnapshotOfOtherBuilds(t *testing.T) {
	model := Model{Name: "m", Version: "2", Weights: 5, Reserve: 1, AdapterSlots: 2, AdapterBytes: 3, MinReplicas: 1, MaxReplicas: 2, Concurrency: 4}
	older := model
	older.Version = "1"
	golden.Format[snapshot]{
		Name: "snapshot", Variants: golden.JSON,
		Sample: snapshot{
			Models:    []entryWithPrevious[Model]{{InForce: model, Previous: &older}},
			Adapters:  []entryWithPrevious[Adapter]{{InForce: Adapter{Name: "a", Model: "m", Version: "1"}}},
			Services:  []Service{{Name: "s", Upstreams: []string{"u"}, Calls: []Call{{Method: "GET", Path: "/x", Idempotent: true}}}},
			Withdrawn: []withdrawal{{EntryName: EntryName{Kind: ModelKind, Name: "old"}}},
		},
		Encode: func(sample snapshot) []byte {
			content, err := json.Marshal(sample)
			if err != nil {
				t.Fatal(err)
			}
			return content
		},
		Decode: func(content []byte) (decoded snapshot, err error) {
			err = json.Unmarshal(content, &decoded)
			decoded.forgetUnknown()
			return decoded, err
		},
	}.Check(t)
}

// forgetUnknown removes what the snapshot keeps of unknown members.
func (whole *snapshot) forgetUnknown() {
	for index := range whole.Models {
		entry := &whole.Models[index]
		entry.unknown, entry.InForce.Unknown = "", ""
	}
	for index := range whole.Adapters {
		entry := &whole.Adapters[index]
		entry.unknown, entry.InForce.Unknown = "", ""
	}
	for index := range whole.Services {
		service := &whole.Services[index]
		service.Unknown = ""
		for call := range service.Calls {
			service.Calls[call].Unknown = ""
		}
	}
	for index := range whole.Withdrawn {
		whole.Withdrawn[index].unknown = ""
	}
}
