// Package client calls the admin address of a gateway.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Client calls the gateway at Server, such as "http://127.0.0.1:8082".
type Client struct {
	Server string
	// Token is sent as a bearer token unless it is empty.
	Token string
}

// StatusError is an answer other than 200.
type StatusError struct {
	StatusCode int
	Message    string
}

func (e *StatusError) Error() string { return e.Message }

// timeout bounds one call.
const timeout = 15 * time.Second

// maxResponseBytes bounds what is read of one answer.
const maxResponseBytes = 64 << 20

// Get calls a path with a query and decodes the answer into v.
func (c *Client) Get(ctx context.Context, path string, query url.Values, v any) error {
	return c.call(ctx, http.MethodGet, path, query, nil, v)
}

// Post sends a body and decodes the answer into v.
func (c *Client) Post(ctx context.Context, path string, query url.Values, body []byte, v any) error {
	return c.call(ctx, http.MethodPost, path, query, body, v)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, v any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.Server+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	defer res.Body.Close()
	content, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	if res.StatusCode != http.StatusOK {
		return &StatusError{StatusCode: res.StatusCode, Message: errorMessage(content)}
	}
	if err := json.Unmarshal(content, v); err != nil {
		return fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return nil
}

func errorMessage(content []byte) string {
	var p struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(content, &p) == nil && p.Error != "" {
		return p.Error
	}
	return strings.TrimSpace(string(content))
}
