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

// hangingTables answers nothing until the caller gives up, while it hangs.
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

func (tables *hangingTables) Commit(ctx context.Context, writes []datastore.Write) ([]uint64, error) {
	if tables.hangs {
		<-ctx.Done()
		return nil, datastore.ErrUnclear
	}
	return tables.Tables.Commit(ctx, writes)
}

// TestCallsAreRefusedSoonWhileTablesHang sends a call every 100 ms to tables that answer nothing.
// The first is refused after one timeout; the others at once, but for the few that try again.
func TestCallsAreRefusedSoonWhileTablesHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := &hangingTables{Tables: newFake(1).Client(), hangs: true}
		store := newStore(tables, "a")
		tried := 0
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
				tried++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if tried > 20 {
			t.Errorf("%d of 100 calls waited", tried)
		}
		tables.hangs = false
		time.Sleep(probeGap)
		if _, _, err := store.Claim(t.Context(), call("last", "last")); err != nil {
			t.Errorf("refused by tables that answer: %v", err)
		}
	})
}

// TestEarlierAnswerIsLookedForBriefly asks for the answer of an earlier sending after a refusal.
func TestEarlierAnswerIsLookedForBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := &hangingTables{Tables: newFake(1).Client()}
		store := newStore(tables, "a")
		ticket, _, err := store.Claim(t.Context(), call("first", "key"))
		if err != nil {
			t.Fatal(err)
		}
		store.Complete(t.Context(), ticket, answerOf("first"))
		tables.hangs = true
		_, _, _ = store.Claim(t.Context(), call("other", "other"))
		began := time.Now()
		if answer, err := store.Find(t.Context(), call("again", "key")); answer != nil || err != nil {
			t.Errorf("found %v, %v", answer, err)
		}
		if took := time.Since(began); took > awayReadTimeout {
			t.Errorf("looked for %s", took)
		}
		tables.hangs = false
		if answer, err := store.Find(t.Context(), call("again", "key")); answer == nil || err != nil {
			t.Errorf("found %v, %v once the tables answer", answer, err)
		}
	})
}

// TestCallsThatComeTogetherAreRefusedTogether sends calls while one waits for tables known to hang.
func TestCallsThatComeTogetherAreRefusedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(&hangingTables{Tables: newFake(1).Client(), hangs: true}, "a")
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
