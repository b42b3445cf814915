package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// headerTimeout bounds the reading of the head of a request.
const headerTimeout = 10 * time.Second

// serve answers on the address until the context ends. It prints a line once it listens.
func serve(ctx context.Context, role, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("stand-in %s cannot listen: %w", role, err)
	}
	fmt.Println(role, "listens on", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("stand-in %s cannot serve: %w", role, err)
	}
	return nil
}
