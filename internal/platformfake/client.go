package platformfake

import (
	"context"

	"github.com/bronzestall/bronzestall/datastore"
)

// Client is the connection of one process to the platform. It implements
// datastore.Tables, datastore.Objects and datastore.VMs. The mutex of the platform
// guards the fields that inject faults.
type Client struct {
	fake        *Platform
	partitioned bool
	// writeFaults are the faults of the next writes; failingReads is the number of reads still to fail.
	writeFaults  []Fault
	failingReads int
	beforeCommit func()
	counts       Counts
}

// Counts returns the number of calls of this client that reached the platform.
func (client *Client) Counts() Counts {
	client.fake.mutex.Lock()
	defer client.fake.mutex.Unlock()
	return client.counts
}

// count adds to the counts of this client and of the platform. The caller must hold the mutex.
func (client *Client) count(calls Counts) {
	client.counts = client.counts.Add(calls)
	client.fake.counts = client.fake.counts.Add(calls)
}

// SetPartitioned makes every call of this client fail with datastore.ErrUnavailable, or ends that.
func (client *Client) SetPartitioned(partitioned bool) {
	client.fake.mutex.Lock()
	defer client.fake.mutex.Unlock()
	client.partitioned = partitioned
}

// FailWrites sets the faults of the next calls of Commit and Put, in order.
func (client *Client) FailWrites(faults ...Fault) {
	client.fake.mutex.Lock()
	defer client.fake.mutex.Unlock()
	client.writeFaults = append(client.writeFaults, faults...)
}

// FailReads makes the next calls of Read, Scan, Get and List fail with datastore.ErrUnavailable.
func (client *Client) FailReads(count int) {
	client.fake.mutex.Lock()
	defer client.fake.mutex.Unlock()
	client.failingReads += count
}

// BeforeCommit sets a function that runs before each Commit is applied; nil removes it.
func (client *Client) BeforeCommit(beforeCommit func()) {
	client.fake.mutex.Lock()
	defer client.fake.mutex.Unlock()
	client.beforeCommit = beforeCommit
}

// Read returns one row, or datastore.ErrNotFound.
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

// Scan returns up to limit rows of a table whose names start with prefix and sort after the given name, in order.
func (client *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]datastore.Row, error) {
	var rows []datastore.Row
	err := client.read(ctx, func(fake *Platform) error {
		rows = fake.store.scan(table, prefix, after, limit)
		client.count(Counts{Reads: int64(max(1, (len(rows)+rowsPerRead-1)/rowsPerRead))})
		return nil
	})
	return rows, err
}

// Get returns the content of an object, or datastore.ErrNotFound.
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

// List returns the VM list as it was at the time now minus the lag.
func (client *Client) List(ctx context.Context) ([]datastore.VM, error) {
	var vms []datastore.VM
	err := client.read(ctx, func(fake *Platform) error {
		client.count(Counts{Lists: 1})
		vms = fake.list()
		return nil
	})
	return vms, err
}

// Commit applies all writes or none and returns their versions. It returns datastore.ErrConflict if a condition is not met.
func (client *Client) Commit(ctx context.Context, writes []datastore.Write) ([]datastore.Version, error) {
	client.fake.mutex.Lock()
	beforeCommit := client.beforeCommit
	client.fake.mutex.Unlock()
	if beforeCommit != nil {
		beforeCommit()
	}
	var versions []datastore.Version
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

// Put writes an object. It returns datastore.ErrConflict if the name exists with other content.
func (client *Client) Put(ctx context.Context, name string, content []byte) error {
	return client.write(ctx, func(fake *Platform) error {
		client.count(Counts{Puts: 1, PutBytes: int64(len(content))})
		return fake.store.put(name, content)
	})
}

// Era returns the era of the tables.
func (client *Client) Era() uint64 {
	client.fake.mutex.Lock()
	defer client.fake.mutex.Unlock()
	return client.fake.store.revision.Era()
}
