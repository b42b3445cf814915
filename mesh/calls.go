package mesh

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/bronzestall/bronzestall/datastore"

	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/internal/rpc"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// Sync sends a report to the lease holder at the address and returns its announcement. The lists of the
// announcement are empty unless it is newer than the one named in the report.
func (node *Node) Sync(ctx context.Context, address string, report Report) (directory.Announcement, error) {
	encoded := report.encode(node.clock.Now())
	response, err := call[meshpb.Report, meshpb.Announcement](ctx, node, address, syncProcedure, encoded, node.settings.CallTimeout+report.Wait)
	if err != nil {
		return directory.Announcement{}, err
	}
	return decodeAnnouncement(response, node.clock.Now()), nil
}

// FetchUpdate returns the data of the daemon at the address that is newer than the versions in the request.
// The daemon waits for newer data for at most request.Wait.
func (node *Node) FetchUpdate(ctx context.Context, address string, request UpdateRequest) (UpdateResponse, error) {
	encoded := &meshpb.Question{
		Configuration: request.ConfigurationVersion,
		Roster:        uint64(request.RosterVersion),
		Wait:          uint64(request.Wait.Milliseconds()),
	}
	response, err := call[meshpb.Question, meshpb.Answer](ctx, node, address, askProcedure, encoded, node.settings.CallTimeout+request.Wait)
	if err != nil {
		return UpdateResponse{}, err
	}
	return decodeUpdateResponse(response), nil
}

// Handler returns the handler for calls of other daemons.
func (node *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, greetProcedure, func(_ context.Context, greeting *meshpb.Greeting) (*meshpb.Greeting, error) {
		node.receive(greeting)
		return node.newGreeting(greeting.GetAskAll()), nil
	})
	handle(mux, syncProcedure, node.serveSync)
	handle(mux, tokensProcedure, node.serveTokens)
	handle(mux, quotasProcedure, node.serveQuotas)
	handle(mux, originsProcedure, node.serveOrigins)
	handle(mux, pingProcedure, servePing)
	handle(mux, proofsProcedure, node.serveProofs)
	handle(mux, tablesProcedure, node.serveStoreCall)
	handle(mux, askProcedure, func(ctx context.Context, request *meshpb.Question) (*meshpb.Answer, error) {
		response := node.deps.Update(ctx, UpdateRequest{
			ConfigurationVersion: request.GetConfiguration(),
			RosterVersion:        datastore.Version(request.GetRoster()),
			Wait:                 min(milliseconds(request.GetWait()), maxWait),
		})
		return response.encode(), nil
	})
	return mux
}

func (node *Node) serveSync(ctx context.Context, encoded *meshpb.Report) (*meshpb.Announcement, error) {
	announcement, err := node.deps.Sync(ctx, decodeReport(encoded, node.clock.Now()))
	if err != nil {
		return nil, err
	}
	newer := announcement.IsNewerThan(encoded.GetFence(), encoded.GetRevision())
	changed := announcement.ChangesSince(encoded.GetFence(), encoded.GetRevision())
	return encodeAnnouncement(&changed, newer, node.clock.Now()), nil
}

// limits bounds the messages between daemons.
var limits = rpc.Limits{MaxMessageBytes: maxMessageBytes, CompressMinBytes: compressMinBytes}

// call sends one message to the procedure at the address and waits for the response, at most for the timeout.
func call[Request, Response any](ctx context.Context, node *Node, address, procedure string, request *Request, timeout time.Duration) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return rpc.Call[Request, Response](ctx, node.settings.Client, "http://"+address+procedure, request, limits)
}

// handle registers the handler of one procedure. Errors of serve are returned as unavailable.
func handle[Request, Response any](mux *http.ServeMux, procedure string, serve func(context.Context, *Request) (*Response, error)) {
	rpc.Handle(mux, procedure, serve, func(error) connect.Code { return connect.CodeUnavailable }, limits)
}
