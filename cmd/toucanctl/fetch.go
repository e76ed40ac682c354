package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// fetchTimeout bounds one question to an instance.
const fetchTimeout = 3 * time.Second

// fetch reads a JSON answer of an instance's operators' listener.
func fetch[T any](ctx context.Context, addr, path string) (T, error) {
	var v T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, access.scheme+"://"+addr+path, http.NoBody)
	if err != nil {
		return v, err
	}
	resp, err := access.client.Do(req)
	if err != nil {
		return v, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return v, fmt.Errorf("%s%s answered %s", addr, path, resp.Status)
	}
	return v, json.NewDecoder(resp.Body).Decode(&v)
}

// fetchAll asks all instances at once. It returns the answers in the order of addrs and the addresses that gave none.
func fetchAll[T any](addrs []string, path string) (answers []T, missing []string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	got := make([]T, len(addrs))
	errs := make([]error, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() { got[i], errs[i] = fetch[T](ctx, addr, path) })
	}
	wg.Wait()
	for i, addr := range addrs {
		if errs[i] != nil {
			missing = append(missing, addr)
			continue
		}
		answers = append(answers, got[i])
	}
	return answers, missing
}
