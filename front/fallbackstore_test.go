package front

import (
	"context"
	"errors"
	"testing"

	"github.com/bronzestall/bronzestall/datastore"
)

// failingStore fails each call with the same error and counts the calls.
type failingStore struct {
	failure error
	calls   int
}

func (store *failingStore) Read(context.Context, datastore.Key) (datastore.Row, error) {
	store.calls++
	return datastore.Row{}, store.failure
}

func (store *failingStore) Commit(context.Context, []datastore.Write) ([]datastore.Version, error) {
	store.calls++
	return nil, store.failure
}

// TestFallbackStore guards against a lease that cannot be renewed because the store rejects its holder while
// it serves other daemons.
func TestFallbackStore(t *testing.T) {
	for name, test := range map[string]struct {
		direct, viaPeer         error
		lost                    bool
		wantDirect, wantViaPeer int
		want                    error
	}{
		"store answers":                 {nil, nil, false, 1, 0, nil},
		"store unavailable":             {datastore.ErrUnavailable, nil, false, 1, 1, nil},
		"store known to be lost":        {datastore.ErrUnavailable, nil, true, 0, 1, nil},
		"unavailable to all":            {datastore.ErrUnavailable, datastore.ErrUnavailable, true, 1, 1, datastore.ErrUnavailable},
		"unclear result is not retried": {datastore.ErrUnclear, nil, false, 1, 0, datastore.ErrUnclear},
		"conflict is returned":          {datastore.ErrConflict, nil, false, 1, 0, datastore.ErrConflict},
	} {
		t.Run(name, func(t *testing.T) {
			direct, viaPeer := &failingStore{failure: test.direct}, &failingStore{failure: test.viaPeer}
			fallback := &fallbackStore{direct: direct, viaPeer: viaPeer, lost: func() bool { return test.lost }}
			_, err := fallback.Commit(t.Context(), nil)
			if direct.calls != test.wantDirect || viaPeer.calls != test.wantViaPeer || !errors.Is(err, test.want) {
				t.Errorf("%d direct calls, %d through another daemon, error %v", direct.calls, viaPeer.calls, err)
			}
		})
	}
}
