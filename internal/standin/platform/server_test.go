package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/standin/network"
)

func startPlatform(t *testing.T) (*Server, *datastore.Client) {
	t.Helper()
	server := New(clock.RealClock{})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	client := datastore.NewClient(datastore.ClientSettings{Address: listener.Listener.Addr().String()}, clock.RealClock{})
	t.Cleanup(client.Close)
	return server, client
}

func TestClientTransactions(t *testing.T) {
	_, client := startPlatform(t)
	ctx := context.Background()
	key := datastore.Key{Table: "t", Row: "a"}
	if _, err := client.Read(ctx, key); !errors.Is(err, datastore.ErrNotFound) {
		t.Fatalf("reading no row: %v", err)
	}
	versions, err := client.Commit(ctx, []datastore.Write{{Key: key, Check: true, Value: []byte("1")}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Commit(ctx, []datastore.Write{{Key: key, Check: true, Value: []byte("2")}}); !errors.Is(err, datastore.ErrConflict) {
		t.Fatalf("inserting twice: %v", err)
	}
	update := []datastore.Write{
		{Key: key, Check: true, IfVersion: versions[0], Only: true},
		{Key: datastore.Key{Table: "t", Row: "b"}, Value: []byte("3")},
	}
	if _, err := client.Commit(ctx, update); err != nil {
		t.Fatal(err)
	}
	rows, err := client.Scan(ctx, "t", "", "a", 10)
	if err != nil || len(rows) != 1 || string(rows[0].Value) != "3" {
		t.Fatalf("scan gave %v, %v", rows, err)
	}
}

func TestFaultsMapToClientErrors(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		write  error
		read   error
		stored bool
	}{
		{"unavailable", Faults{Unavailable: true}, datastore.ErrUnavailable, datastore.ErrUnavailable, false},
		{"cut before", Faults{CutBefore: true}, datastore.ErrUnclear, datastore.ErrNotFound, false},
		{"answer lost", Faults{LoseAnswers: 1}, datastore.ErrUnclear, nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, client := startPlatform(t)
			ctx := context.Background()
			server.SetFaults(c.faults)
			key := datastore.Key{Table: "t", Row: "a"}
			if _, err := client.Commit(ctx, []datastore.Write{{Key: key}}); !errors.Is(err, c.write) {
				t.Errorf("write gave %v, not %v", err, c.write)
			}
			if _, err := client.Read(ctx, key); !errors.Is(err, c.read) {
				t.Errorf("read gave %v, not %v", err, c.read)
			}
			if commits := server.Counts().Commits; (commits == 1) != c.stored {
				t.Errorf("%d commits", commits)
			}
		})
	}
}

func TestStalledIdleConnectionsFailOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := network.NewPipe()
		httpServer := &http.Server{Handler: New(clock.RealClock{})}
		go func() { _ = httpServer.Serve(listener) }()
		defer httpServer.Close()
		client := datastore.NewClient(datastore.ClientSettings{Address: "platform", Dial: listener.Dial}, clock.RealClock{})
		defer client.Close()
		var calls sync.WaitGroup
		for range 5 {
			calls.Go(func() {
				if _, err := client.List(t.Context()); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		synctest.Wait()
		if stalled := listener.StallConnections(); stalled < 2 {
			t.Fatalf("only %d stalled connections", stalled)
		}
		if _, err := client.List(t.Context()); !errors.Is(err, datastore.ErrUnavailable) {
			t.Errorf("list on a stalled connection: %v", err)
		}
		if _, err := client.List(t.Context()); err != nil {
			t.Errorf("list after a stalled connection was detected: %v", err)
		}
	})
}

func TestObjectsAreImmutable(t *testing.T) {
	_, client := startPlatform(t)
	ctx := context.Background()
	if err := client.Put(ctx, "a/b", []byte("1")); err != nil {
		t.Fatal(err)
	}
	if err := client.Put(ctx, "a/b", []byte("1")); err != nil {
		t.Fatal(err)
	}
	if err := client.Put(ctx, "a/b", []byte("2")); !errors.Is(err, datastore.ErrConflict) {
		t.Fatalf("changing an object: %v", err)
	}
	content, err := client.Get(ctx, "a/b")
	if err != nil || string(content) != "1" {
		t.Fatalf("get gave %q, %v", content, err)
	}
}

// TestScanCountsReadsLikeTheFake checks that both stand-ins of the platform count a full page as one read.
func TestScanCountsReadsLikeTheFake(t *testing.T) {
	for rows, want := range map[int]int{0: 1, 1: 1, rowsPerRead: 1, rowsPerRead + 1: 2} {
		server, client := startPlatform(t)
		for number := range rows {
			key := datastore.Key{Table: "T", Row: fmt.Sprint(number)}
			if _, err := client.Commit(t.Context(), []datastore.Write{{Key: key, Value: []byte("v")}}); err != nil {
				t.Fatal(err)
			}
		}
		before := server.Counts().Reads
		if _, err := client.Scan(t.Context(), "T", "", "", 10*rowsPerRead); err != nil {
			t.Fatal(err)
		}
		if got := server.Counts().Reads - before; got != want {
			t.Errorf("a scan of %d rows counts as %d reads, want %d", rows, got, want)
		}
	}
}
