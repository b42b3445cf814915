package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// fetcher returns a function that asks the weight store at the address for transfers; empty means none.
func fetcher(address string) func(ctx context.Context, name string, bytes int64, adapter bool) error {
	if address == "" {
		return nil
	}
	return func(ctx context.Context, name string, length int64, adapter bool) error {
		body, err := json.Marshal(struct {
			Name    string
			Bytes   int64
			Adapter bool
		}{name, length, adapter})
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
			return fmt.Errorf("weight store answered %s", response.Status)
		}
		return nil
	}
}
