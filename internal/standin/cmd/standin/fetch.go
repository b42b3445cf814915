package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// fetcher returns a function that requests transfers from the weight store at the address. It returns nil if the
// address is empty.
func fetcher(address string) func(ctx context.Context, name string, bytes int64, adapter bool) error {
	if address == "" {
		return nil
	}
	return func(ctx context.Context, name string, size int64, adapter bool) error {
		body, err := json.Marshal(struct {
			Name    string
			Bytes   int64
			Adapter bool
		}{name, size, adapter})
		if err != nil {
			return err
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/weights/fetch", bytes.NewReader(body))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("weight store returned status %s", response.Status)
		}
		return nil
	}
}
