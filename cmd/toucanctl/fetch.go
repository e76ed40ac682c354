package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// fetchTimeout limits one round of queries to the instances.
const fetchTimeout = 3 * time.Second

// fetch gets a path from an instance's operators' listener and decodes the JSON response.
func fetch[T any](ctx context.Context, addr, path string) (T, error) {
	var v T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, operatorAccess.scheme+"://"+addr+path, http.NoBody)
	if err != nil {
		return v, err
	}
	resp, err := operatorAccess.client.Do(req)
	if err != nil {
		return v, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return v, fmt.Errorf("%s%s answered %s", addr, path, resp.Status)
	}
	return v, json.NewDecoder(resp.Body).Decode(&v)
}

// fetchAll queries all instances concurrently. It returns the responses in the order of addrs; missing lists the
// addresses of the instances that gave none.
func fetchAll[T any](addrs []string, path string) (responses []T, missing []string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	results := make([]T, len(addrs))
	errs := make([]error, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() { results[i], errs[i] = fetch[T](ctx, addr, path) })
	}
	wg.Wait()
	for i, addr := range addrs {
		if errs[i] != nil {
			missing = append(missing, addr)
			continue
		}
		responses = append(responses, results[i])
	}
	return responses, missing
}
