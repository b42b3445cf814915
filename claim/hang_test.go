package claim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/outcome"
)

// hangingTables blocks every call until its context ends while hangs is true.
type hangingTables struct {
	datastore.Tables
	hangs bool
}

func (tables *hangingTables) Read(ctx context.Context, key datastore.Key) (datastore.Row, error) {
	if tables.hangs {
		<-ctx.Done()
		return datastore.Row{}, datastore.ErrUnavailable
	}
	return tables.Tables.Read(ctx, key)
}

func (tables *hangingTables) Commit(ctx context.Context, writes []datastore.Write) ([]datastore.Version, error) {
	if tables.hangs {
		<-ctx.Done()
		return nil, datastore.ErrUnclear
	}
	return tables.Tables.Commit(ctx, writes)
}

// TestCallsAreRefusedPromptlyWhileTablesHang sends a call every 100 ms while the tables do not respond.
// The first is refused after one timeout; the others at once, except for the few that probe the tables.
func TestCallsAreRefusedPromptlyWhileTablesHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := &hangingTables{Tables: newPlatform(1).Client(), hangs: true}
		store := newStore(tables, "a")
		waited := 0
		for number := range 100 {
			began := time.Now()
			_, _, err := store.Claim(t.Context(), call(fmt.Sprint("id-", number), fmt.Sprint("key-", number)))
			if !outcome.Is(err, outcome.ClaimUnavailable) {
				t.Fatalf("claimed: %v", err)
			}
			took := time.Since(began)
			if took > defaultTimeout {
				t.Errorf("call %d is refused after %s", number, took)
			}
			if took > 0 {
				waited++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if waited > 20 {
			t.Errorf("%d of 100 calls waited", waited)
		}
		tables.hangs = false
		time.Sleep(probeInterval)
		if _, _, err := store.Claim(t.Context(), call("last", "last")); err != nil {
			t.Errorf("refused while the tables respond: %v", err)
		}
	})
}

// TestFindIsBoundedDuringOutage reads the response of an earlier attempt after a claim was refused.
func TestFindIsBoundedDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := &hangingTables{Tables: newPlatform(1).Client()}
		store := newStore(tables, "a")
		ticket, _, err := store.Claim(t.Context(), call("first", "key"))
		if err != nil {
			t.Fatal(err)
		}
		store.Complete(t.Context(), ticket, responseOf("first"))
		tables.hangs = true
		_, _, _ = store.Claim(t.Context(), call("other", "other"))
		began := time.Now()
		if response, err := store.Find(t.Context(), call("again", "key")); response != nil || err != nil {
			t.Errorf("found %v, %v", response, err)
		}
		if took := time.Since(began); took > outageReadTimeout {
			t.Errorf("Find took %s", took)
		}
		tables.hangs = false
		if response, err := store.Find(t.Context(), call("again", "key")); response == nil || err != nil {
			t.Errorf("found %v, %v once the tables respond", response, err)
		}
	})
}

// TestConcurrentCallsAreRefusedAtOnce sends calls while another one waits for tables that are known to hang.
func TestConcurrentCallsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(&hangingTables{Tables: newPlatform(1).Client(), hangs: true}, "a")
		if _, _, err := store.Claim(t.Context(), call("first", "first")); err == nil {
			t.Fatal("claimed")
		}
		go func() { _, _, _ = store.Claim(t.Context(), call("again", "again")) }()
		synctest.Wait()
		for number := range 20 {
			began := time.Now()
			_, _, err := store.Claim(t.Context(), call(fmt.Sprint("id-", number), fmt.Sprint("key-", number)))
			if !outcome.Is(err, outcome.ClaimUnavailable) || time.Since(began) > 0 {
				t.Fatalf("call %d: %v after %s", number, err, time.Since(began))
			}
		}
		synctest.Wait()
		time.Sleep(defaultTimeout)
	})
}
