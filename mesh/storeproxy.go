package mesh

import (
	"context"
	"errors"
	"fmt"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// StoreProxy makes calls to the platform's store through another daemon, for one that the store does not
// answer. It implements RowStore.
type StoreProxy struct {
	node *Node
	// Address returns the address of the daemon to call, and whether there is one.
	Address func() (string, bool)
}

// StoreProxy returns a proxy that calls the store through the daemon whose address the function returns.
func (node *Node) StoreProxy(address func() (string, bool)) *StoreProxy {
	return &StoreProxy{node: node, Address: address}
}

// storeErrors lists the errors of a store call by their number in messages, minus one. Zero is success.
var storeErrors = []error{datastore.ErrUnavailable, datastore.ErrUnclear, datastore.ErrConflict, datastore.ErrNotFound}

// Read returns one row, or fails with datastore.ErrNotFound or datastore.ErrUnavailable.
func (proxy *StoreProxy) Read(ctx context.Context, key datastore.Key) (datastore.Row, error) {
	result, err := proxy.call(ctx, &meshpb.TableCall{Table: key.Table, Row: key.Row})
	if err != nil {
		return datastore.Row{}, fmt.Errorf("%w: %w", datastore.ErrUnavailable, err)
	}
	if err := storeError(result); err != nil {
		return datastore.Row{}, err
	}
	return datastore.Row{Key: key, Version: datastore.Version(result.GetVersion()), Value: result.GetValue()}, nil
}

// Commit applies all writes or none. It fails with ErrUnavailable, ErrUnclear or ErrConflict of package
// datastore.
func (proxy *StoreProxy) Commit(ctx context.Context, writes []datastore.Write) ([]datastore.Version, error) {
	result, err := proxy.call(ctx, encodeWrites(writes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", datastore.ErrUnclear, err)
	}
	return decodeVersions(result.GetVersions()), storeError(result)
}

func (proxy *StoreProxy) call(ctx context.Context, request *meshpb.TableCall) (*meshpb.TableResult, error) {
	address, ok := proxy.Address()
	if !ok {
		return &meshpb.TableResult{Outcome: 1}, nil
	}
	return call[meshpb.TableCall, meshpb.TableResult](ctx, proxy.node, address, tablesProcedure, request, proxy.node.settings.CallTimeout)
}

func storeError(result *meshpb.TableResult) error {
	outcome := int(result.GetOutcome())
	if outcome == 0 {
		return nil
	}
	if outcome > len(storeErrors) {
		return datastore.ErrUnclear
	}
	return storeErrors[outcome-1]
}

// serveStoreCall makes a store call for another daemon: a transaction if it has writes, or else a read.
func (node *Node) serveStoreCall(ctx context.Context, request *meshpb.TableCall) (*meshpb.TableResult, error) {
	result := &meshpb.TableResult{}
	var err error
	if len(request.GetWrites()) == 0 {
		var row datastore.Row
		row, err = node.deps.Store.Read(ctx, datastore.Key{Table: request.GetTable(), Row: request.GetRow()})
		result.Version, result.Value = uint64(row.Version), row.Value
	} else {
		var versions []datastore.Version
		versions, err = node.deps.Store.Commit(ctx, decodeWrites(request.GetWrites()))
		result.Versions = encodeVersions(versions)
	}
	result.Outcome = outcomeCode(err)
	return result, nil
}

// outcomeCode returns the number of the error in messages. An unknown error is encoded as
// datastore.ErrUnclear.
func outcomeCode(err error) uint32 {
	if err == nil {
		return 0
	}
	for index, failure := range storeErrors {
		if errors.Is(err, failure) {
			return uint32(index) + 1
		}
	}
	return outcomeCode(datastore.ErrUnclear)
}

func encodeVersions(versions []datastore.Version) []uint64 {
	var encoded []uint64
	for _, version := range versions {
		encoded = append(encoded, uint64(version))
	}
	return encoded
}

func decodeVersions(encoded []uint64) []datastore.Version {
	var versions []datastore.Version
	for _, version := range encoded {
		versions = append(versions, datastore.Version(version))
	}
	return versions
}

func encodeWrites(writes []datastore.Write) *meshpb.TableCall {
	request := &meshpb.TableCall{}
	for _, write := range writes {
		request.Writes = append(request.Writes, &meshpb.TableWrite{
			Table: write.Table, Row: write.Row, Check: write.Check, IfVersion: uint64(write.IfVersion),
			Only: write.Only, Remove: write.Delete, Value: write.Value,
		})
	}
	return request
}

func decodeWrites(encoded []*meshpb.TableWrite) []datastore.Write {
	var writes []datastore.Write
	for _, write := range encoded {
		writes = append(writes, datastore.Write{
			Key:   datastore.Key{Table: write.GetTable(), Row: write.GetRow()},
			Check: write.GetCheck(), IfVersion: datastore.Version(write.GetIfVersion()), Only: write.GetOnly(),
			Delete: write.GetRemove(), Value: write.GetValue(),
		})
	}
	return writes
}
