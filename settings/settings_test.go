package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// example returns the content of a file of the folder examples.
func example(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("..", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func TestExampleCostWeightsAndStoreLimits(t *testing.T) {
	yamabuki, err := Load(filepath.Join("..", "examples", "yamabuki.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	calabaza, err := Load(filepath.Join("..", "examples", "calabaza.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	if yamabuki.KeepWarm.IdleHourWeight <= yamabuki.KeepWarm.ColdStartWeight {
		t.Error("Yamabuki does not give idle hours the higher weight")
	}
	if calabaza.KeepWarm.ColdStartWeight <= calabaza.KeepWarm.IdleHourWeight {
		t.Error("Calabaza does not give cold starts the higher weight")
	}
	if want := (WeightStore{LoadsPerSecond: 2.6, LoadsAtOnce: 4, AdaptersInFlight: 32}); yamabuki.WeightStore != want {
		t.Errorf("Yamabuki's weight store is %+v", yamabuki.WeightStore)
	}
	if want := (WeightStore{LoadsPerSecond: 5, LoadsAtOnce: 4, AdaptersInFlight: 32}); calabaza.WeightStore != want {
		t.Errorf("Calabaza's weight store is %+v", calabaza.WeightStore)
	}
}

func TestParseReportsProblem(t *testing.T) {
	valid := example(t, "yamabuki.yaml")
	for _, test := range []struct{ name, old, changed, want string }{
		{"unknown key", "ListEvery: 2s", "ListEvry: 2s", "Platform.ListEvry: unknown key"},
		{"bare duration", "Timeout: 2s", "Timeout: 2", "Platform.Timeout: must be a duration"},
		{"wrong type", "LoadsAtOnce: 4", "LoadsAtOnce: four", "WeightStore.LoadsAtOnce: must be a whole number"},
		{"bare size", "BodyBytes: 8MiB", "BodyBytes: 8388608", "Queue.BodyBytes: must be a size"},
		{"renewal at half of the term", "RenewEvery: 3s", "RenewEvery: 5s", "Lease.RenewEvery: 5s is not below half"},
		{"term below the default renewal", "Term: 10s\n  RenewEvery: 3s", "Term: 6s", "is not below half of Lease.Term, which is 6s"},
		{"address with a host name", "10.1.1.11:8080", "localhost:8080", "CallerAddress: \"localhost:8080\" is not an IP address and port"},
		{"duplicate address", "10.1.1.11:8081", "10.1.1.11:8080", "OperatorAddress: is the same as CallerAddress"},
		{"unspecified address", "10.1.0.2:7000", "0.0.0.0:7000", "Platform.Address: \"0.0.0.0:7000\" cannot be connected to"},
		{"unknown data centre", "DataCentre: fukuoka\nCaller", "DataCentre: saga\nCaller", "DataCentre: \"saga\" is not in DataCentres"},
		{"duplicate name", "Name: engine-2", "Name: engine-1", "Upstreams[1].Name: \"engine-1\" is already listed on line"},
		{"unknown kind", "Kind: Service", "Kind: Database", "is not a kind; allowed are Engine and Service"},
		{"fencing on a service", "Kind: Service", "Kind: Service\n    ChecksFencing: true", "ChecksFencing: is for engines only"},
		{"boot check on a service", "Kind: Service", "Kind: Service\n    ChecksBoot: true", "ChecksBoot: is for engines only"},
		{"rate of zero", "LoadsPerSecond: 2.6", "LoadsPerSecond: 0", "allowed is above 0"},
		{"fewer transfers than data centres", "AdaptersInFlight: 32", "AdaptersInFlight: 1", "WeightStore.AdaptersInFlight: 1 is below the number of data centres"},
		{"negative weight", "IdleHourWeight: 4", "IdleHourWeight: -4", "KeepWarm.IdleHourWeight: -4 is out of range; allowed is 0 to"},
		{"deadline above total", "Deadline: 20s", "Deadline: 6m", "Classes[0].Deadline: 6m0s is above Total"},
		{"queue per model above total", "Total: 4096", "Total: 100", "Queue.PerModel: 256 is above Queue.Total"},
		{"malformed key hash", "KeySHA256: \"", "KeySHA256: \"0", "KeySHA256: is not a SHA-256 hash"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if !strings.Contains(valid, test.old) {
				t.Fatalf("the example does not contain %q", test.old)
			}
			_, err := Parse("x.yaml", []byte(strings.Replace(valid, test.old, test.changed, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) || !strings.HasPrefix(err.Error(), "x.yaml: line ") {
				t.Errorf("got %v, want %s", err, test.want)
			}
		})
	}
}

func TestParseListsEveryProblem(t *testing.T) {
	_, err := Parse("x.yaml", []byte("Name: entry-1\n"))
	var failure *strictyaml.Error
	if !errors.As(err, &failure) {
		t.Fatalf("got %v", err)
	}
	keys := map[string]bool{}
	for _, problem := range failure.Problems {
		keys[problem.Key] = true
	}
	for _, key := range []string{
		"DataCentre", "CallerAddress", "OperatorAddress", "PeerAddress", "DataCentres",
		"Platform.Address", "WeightStore.LoadsPerSecond", "WeightStore.LoadsAtOnce", "Tenants",
	} {
		if !keys[key] {
			t.Errorf("no problem has the key %s: %v", key, err)
		}
	}
}
