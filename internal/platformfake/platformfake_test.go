package platformfake

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	clocktesting "k8s.io/utils/clock/testing"

	"github.com/bronzestall/bronzestall/datastore"
)

var (
	_ datastore.Tables  = (*Client)(nil)
	_ datastore.Objects = (*Client)(nil)
	_ datastore.VMs     = (*Client)(nil)
)

func newFake() (*Platform, *clocktesting.FakeClock) {
	clock := clocktesting.NewFakeClock(time.Unix(0, 0))
	return New(clock, rand.New(rand.NewPCG(1, 1))), clock
}

func newWrite(row, value string, check bool, version datastore.Version) []datastore.Write {
	return []datastore.Write{{Key: datastore.Key{Table: "T", Row: row}, Check: check, IfVersion: version, Value: []byte(value)}}
}

func TestWriteFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   Fault
		want    error
		applied bool
	}{
		{"none", None, nil, true},
		{"unavailable", Unavailable, datastore.ErrUnavailable, false},
		{"unclear with effect", UnclearWithEffect, datastore.ErrUnclear, true},
		{"unclear without effect", UnclearWithoutEffect, datastore.ErrUnclear, false},
		{"unclear late", UnclearLate, datastore.ErrUnclear, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fake, _ := newFake()
			client := fake.Client()
			client.FailWrites(test.fault)
			if _, err := client.Commit(t.Context(), newWrite("a", "1", true, 0)); !errors.Is(err, test.want) {
				t.Fatalf("Commit gave %v, want %v", err, test.want)
			}
			_, err := fake.Client().Read(t.Context(), datastore.Key{Table: "T", Row: "a"})
			if (err == nil) != test.applied {
				t.Errorf("Read gave %v, want applied %t", err, test.applied)
			}
			if count := fake.ApplyLate(); count == 1 {
				_, err = client.Read(t.Context(), datastore.Key{Table: "T", Row: "a"})
			}
			if test.fault == UnclearLate && err != nil {
				t.Errorf("a delayed write was not applied: %v", err)
			}
		})
	}
}

func TestCommitIsAllOrNothing(t *testing.T) {
	fake, _ := newFake()
	client := fake.Client()
	first, err := client.Commit(t.Context(), newWrite("a", "1", true, 0))
	if err != nil {
		t.Fatal(err)
	}
	conditional := append(newWrite("b", "1", true, 0), newWrite("a", "2", true, first[0]+1)...)
	if _, err := client.Commit(t.Context(), conditional); !errors.Is(err, datastore.ErrConflict) {
		t.Fatalf("Commit gave %v", err)
	}
	rows, err := client.Scan(t.Context(), "T", "", "", 10)
	if err != nil || len(rows) != 1 || string(rows[0].Value) != "1" {
		t.Errorf("rows after a conflict: %v, %v", rows, err)
	}
	deletion := []datastore.Write{{Key: datastore.Key{Table: "T", Row: "a"}, Delete: true}}
	if _, err := client.Commit(t.Context(), deletion); err != nil {
		t.Fatal(err)
	}
	recreated, err := client.Commit(t.Context(), newWrite("a", "3", true, 0))
	if err != nil || recreated[0] <= first[0] {
		t.Errorf("a version was used twice: %v after %v, %v", recreated, first, err)
	}
}

func TestVMListLagAndPartition(t *testing.T) {
	fake, clock := newFake()
	fake.SetLag(time.Minute)
	client := fake.Client()
	fake.SetVMs(datastore.VM{Name: "a"})
	if vms, err := client.List(t.Context()); err != nil || len(vms) != 0 {
		t.Errorf("the list was returned before the lag: %v, %v", vms, err)
	}
	clock.Step(time.Minute)
	if vms, err := client.List(t.Context()); err != nil || len(vms) != 1 {
		t.Errorf("the list was not returned after the lag: %v, %v", vms, err)
	}
	client.SetPartitioned(true)
	if _, err := client.List(t.Context()); !errors.Is(err, datastore.ErrUnavailable) {
		t.Errorf("a partitioned client got %v", err)
	}
}
