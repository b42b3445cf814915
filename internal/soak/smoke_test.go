package soak

import (
	"testing"
	"testing/synctest"
)

const firstNote = `Note: first
Base: 0
Summary: first models
Models:
  Added:
    - {Name: round, Version: "1", Weights: 8GiB, Reserve: 4GiB, AdapterSlots: 4, AdapterBytes: 100MiB, MaxReplicas: 2}
    - {Name: plan, Version: "1", Weights: 10GiB}
    - {Name: gate, Version: "1", Weights: 20GiB}
Adapters:
  Added:
    - {Name: shop, Model: round, Version: "1"}
    - {Name: maker, Model: round, Version: "1"}
Services:
  Added:
    - Name: orders
      Upstreams: [desk-1, desk-2]
      Calls:
        - {Method: POST, Path: /confirm}
        - {Method: GET, Path: /list, Idempotent: true}
`

// apply applies a valid note through the platform.
func (testbed *testbed) apply(content string) error {
	_, err := testbed.accept(content)
	return err
}

// TestEndToEndRequests sends requests for models, adapters and a service through a daemon, without faults.
func TestEndToEndRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testbed := newReadyTestbed(t)
		defer testbed.close()
		caller := newCaller(testbed, 1)
		for _, target := range []string{"round", "plan", "round:shop"} {
			for _, stream := range []bool{false, true} {
				got := caller.chat(target, stream, 5)
				if !got.complete {
					t.Errorf("%s with stream %t: %+v", target, stream, got)
				}
			}
		}
		got := caller.confirm("key-1")
		if !got.complete || testbed.executions("key-1") != 1 {
			t.Errorf("confirm: %+v, %d executions", got, testbed.executions("key-1"))
		}
		caller.close()
		if waited := testbed.metric("bronzestall_queue_microseconds_count"); waited < 6 {
			t.Errorf("the time in the queue was measured for %v requests, want 6 or more", waited)
		}
	})
}
