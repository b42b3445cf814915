package platformfake

import (
	"context"

	"github.com/bronzestall/bronzestall/datastore"
)

// Client is the platform as one process reaches it. It implements
// datastore.Tables, datastore.Objects and datastore.VMs. The fields that inject
// faults are guarded by the mutex of the platform.
type Client struct {
	fake *Platform
	cut  bool
	// writes are the faults of the next writes; reads is the number of reads to refuse.
	writes []Fault
	reads  int
	before func()
	counts Counts
}

// Counts returns the calls of this client that reached the platform.
func (client *Client) Counts() Counts {
	client.fake.mutex.Lock()
	defer client.fake.mutex.Unlock()
	return client.counts
}

// count adds calls of this client. It is called with the mutex held.
func (client *Client) count(calls Counts) {
	client.counts = client.counts.Add(calls)
	client.fake.counts = client.fake.counts.Add(calls)
}

// SetPartitioned separates the client from the platform, or joins it again.
func (client *Client) SetPartitioned(cut bool) {
	client.fake.mutex.Lock()
	defer client.fake.mutex.Unlock()
	client.cut = cut
}

// FailWrites sets the faults of the next calls of Commit and Put, in order.
func (client *Client) FailWrites(faults ...Fault) {
	client.fake.mutex.Lock()
	defer client.fake.mutex.Unlock()
	client.writes = append(client.writes, faults...)
}

// FailReads refuses the next calls of Read, Scan, Get and List.
func (client *Client) FailReads(count int) {
	client.fake.mutex.Lock()
	defer client.fake.mutex.Unlock()
	client.reads += count
}

// BeforeCommit sets a function that runs before each Commit takes effect, or nil for none.
func (client *Client) BeforeCommit(before func()) {
	client.fake.mutex.Lock()
	defer client.fake.mutex.Unlock()
	client.before = before
}

// Read returns one row.
func (client *Client) Read(ctx context.Context, key datastore.Key) (datastore.Row, error) {
	var row datastore.Row
	err := client.read(ctx, func(fake *Platform) error {
		var err error
		client.count(Counts{Reads: 1})
		row, err = fake.store.read(key)
		return err
	})
	return row, err
}

// Scan returns rows of a table in order.
func (client *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]datastore.Row, error) {
	var rows []datastore.Row
	err := client.read(ctx, func(fake *Platform) error {
		rows = fake.store.scan(table, prefix, after, limit)
		client.count(Counts{Reads: int64(max(1, (len(rows)+rowsPerRead-1)/rowsPerRead))})
		return nil
	})
	return rows, err
}

// Get returns the content of an object.
func (client *Client) Get(ctx context.Context, name string) ([]byte, error) {
	var content []byte
	err := client.read(ctx, func(fake *Platform) error {
		var err error
		content, err = fake.store.get(name)
		client.count(Counts{Gets: 1, GetBytes: int64(len(content))})
		return err
	})
	return content, err
}

// List returns the VMs as they were before the lag.
func (client *Client) List(ctx context.Context) ([]datastore.VM, error) {
	var vms []datastore.VM
	err := client.read(ctx, func(fake *Platform) error {
		client.count(Counts{Lists: 1})
		vms = fake.list()
		return nil
	})
	return vms, err
}

// Commit applies all writes or none.
func (client *Client) Commit(ctx context.Context, writes []datastore.Write) ([]uint64, error) {
	client.fake.mutex.Lock()
	before := client.before
	client.fake.mutex.Unlock()
	if before != nil {
		before()
	}
	var versions []uint64
	err := client.write(ctx, func(fake *Platform) error {
		var err error
		client.count(Counts{Writes: 1})
		versions, err = fake.store.commit(writes)
		return err
	})
	if err != nil {
		return nil, err
	}
	return versions, nil
}

// Put writes an object.
func (client *Client) Put(ctx context.Context, name string, content []byte) error {
	return client.write(ctx, func(fake *Platform) error {
		client.count(Counts{Puts: 1, PutBytes: int64(len(content))})
		return fake.store.put(name, content)
	})
}
