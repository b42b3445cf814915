package front

import (
	"context"
	"errors"
	"testing"

	"github.com/bronzestall/bronzestall/datastore"
)

// failingStore is a store that fails each call in its way, and counts the calls.
type failingStore struct {
	failure error
	calls   int
}

func (answers *failingStore) Read(context.Context, datastore.Key) (datastore.Row, error) {
	answers.calls++
	return datastore.Row{}, answers.failure
}

func (answers *failingStore) Commit(context.Context, []datastore.Write) ([]uint64, error) {
	answers.calls++
	return nil, answers.failure
}

// TestFallbackStore covers a store that turns away the daemon that holds the lease, and serves others.
func TestFallbackStore(t *testing.T) {
	for name, test := range map[string]struct {
		direct, through     error
		lost                bool
		wantDirect, wantVia int
		want                error
	}{
		"store answers":                     {nil, nil, false, 1, 0, nil},
		"turned away":                       {datastore.ErrUnavailable, nil, false, 1, 1, nil},
		"known to be away":                  {datastore.ErrUnavailable, nil, true, 0, 1, nil},
		"away for all":                      {datastore.ErrUnavailable, datastore.ErrUnavailable, true, 1, 1, datastore.ErrUnavailable},
		"unclear is not sent a second time": {datastore.ErrUnclear, nil, false, 1, 0, datastore.ErrUnclear},
		"conflict is an answer":             {datastore.ErrConflict, nil, false, 1, 0, datastore.ErrConflict},
	} {
		t.Run(name, func(t *testing.T) {
			direct, through := &failingStore{failure: test.direct}, &failingStore{failure: test.through}
			detour := &fallbackStore{direct: direct, viaPeer: through, lost: func() bool { return test.lost }}
			_, err := detour.Commit(t.Context(), nil)
			if direct.calls != test.wantDirect || through.calls != test.wantVia || !errors.Is(err, test.want) {
				t.Errorf("%d calls directly, %d through another daemon, %v", direct.calls, through.calls, err)
			}
		})
	}
}
