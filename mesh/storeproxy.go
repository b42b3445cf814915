package mesh

import (
	"context"
	"errors"
	"fmt"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// StoreProxy makes calls to the platform's store through another daemon, for one that the store turns away.
// It implements the reading of one row and transactions.
type StoreProxy struct {
	node *Node
	// Address returns the daemon to ask, and whether there is one.
	Address func() (string, bool)
}

// StoreProxy returns tables that are reached through the daemon that the function names.
func (node *Node) StoreProxy(address func() (string, bool)) *StoreProxy {
	return &StoreProxy{node: node, Address: address}
}

// The outcomes of a call on the wire, in the order of their numbers after zero.
var storeErrors = []error{datastore.ErrUnavailable, datastore.ErrUnclear, datastore.ErrConflict, datastore.ErrNotFound}

// Read returns one row, or fails with datastore.ErrNotFound or datastore.ErrUnavailable.
func (tables *StoreProxy) Read(ctx context.Context, key datastore.Key) (datastore.Row, error) {
	result, err := tables.call(ctx, &meshpb.TableCall{Table: key.Table, Row: key.Row})
	if err != nil {
		return datastore.Row{}, fmt.Errorf("%w: %w", datastore.ErrUnavailable, err)
	}
	if err := storeError(result); err != nil {
		return datastore.Row{}, err
	}
	return datastore.Row{Key: key, Version: result.GetVersion(), Value: result.GetValue()}, nil
}

// Commit applies all writes or none. It fails with ErrUnavailable, ErrUnclear or ErrConflict of package datastore.
func (tables *StoreProxy) Commit(ctx context.Context, writes []datastore.Write) ([]uint64, error) {
	question := &meshpb.TableCall{}
	for _, write := range writes {
		question.Writes = append(question.Writes, &meshpb.TableWrite{
			Table: write.Table, Row: write.Row, Check: write.Check, IfVersion: write.IfVersion,
			Only: write.Only, Remove: write.Delete, Value: write.Value,
		})
	}
	result, err := tables.call(ctx, question)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", datastore.ErrUnclear, err)
	}
	return result.GetVersions(), storeError(result)
}

func (tables *StoreProxy) call(ctx context.Context, question *meshpb.TableCall) (*meshpb.TableResult, error) {
	address, ok := tables.Address()
	if !ok {
		return &meshpb.TableResult{Outcome: 1}, nil
	}
	return call[meshpb.TableCall, meshpb.TableResult](ctx, tables.node, address, tablesProcedure, question, tables.node.settings.CallTimeout)
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

// serveStoreCall makes a call for another daemon.
func (node *Node) serveStoreCall(ctx context.Context, question *meshpb.TableCall) (*meshpb.TableResult, error) {
	result := &meshpb.TableResult{}
	var err error
	if len(question.GetWrites()) == 0 {
		var row datastore.Row
		row, err = node.deps.Store.Read(ctx, datastore.Key{Table: question.GetTable(), Row: question.GetRow()})
		result.Version, result.Value = row.Version, row.Value
	} else {
		result.Versions, err = node.deps.Store.Commit(ctx, decodeWrites(question.GetWrites()))
	}
	result.Outcome = outcomeCode(err)
	return result, nil
}

// outcomeCode returns the number of a failure. One that is not known is unclear.
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

func decodeWrites(encoded []*meshpb.TableWrite) []datastore.Write {
	var writes []datastore.Write
	for _, write := range encoded {
		writes = append(writes, datastore.Write{
			Key:   datastore.Key{Table: write.GetTable(), Row: write.GetRow()},
			Check: write.GetCheck(), IfVersion: write.GetIfVersion(), Only: write.GetOnly(),
			Delete: write.GetRemove(), Value: write.GetValue(),
		})
	}
	return writes
}
