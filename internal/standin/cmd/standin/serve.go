package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
	"github.com/bronzestall/bronzestall/internal/standin/network"
)

// headerTimeout is the time limit for reading the header of a request; responseTime is the delay that lets the
// response to POST /silence be sent before the connections are stalled.
const (
	headerTimeout = 10 * time.Second
	responseTime  = 20 * time.Millisecond
)

// serve serves requests on the address until the context ends. It prints a line when it listens.
// POST /silence stalls the open connections for good, POST /cut closes them.
func serve(ctx context.Context, role, address string, handler http.Handler) error {
	inner, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("stand-in %s cannot listen: %w", role, err)
	}
	listener := network.Wrap(inner)
	fmt.Println(role, "listens on", listener.Addr())
	server := &http.Server{Handler: withNetworkFaults(handler, listener), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("stand-in %s cannot serve: %w", role, err)
	}
	return nil
}

func withNetworkFaults(handler http.Handler, listener *network.Listener) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.HandleFunc("POST /silence", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Connection", "close")
		time.AfterFunc(responseTime, func() { listener.StallConnections() })
	})
	mux.HandleFunc("POST /cut", func(http.ResponseWriter, *http.Request) {
		listener.CloseConnections()
		answer.AbortConnection()
	})
	return mux
}
