// Package client calls a gateway's admin API.
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

// Client calls the gateway whose admin URL is Server, such as "http://127.0.0.1:8082".
type Client struct {
	Server string
	// Token is sent as a bearer token unless it is empty.
	Token string
}

// StatusError reports a response with a status other than 200.
type StatusError struct {
	StatusCode int
	// Message is the "error" field of the response body, or the whole body.
	Message string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("gateway responded with status %d: %s", e.StatusCode, e.Message)
}

// timeout limits one call, including the reading of its response.
const timeout = 15 * time.Second

const maxResponseBytes = 64 << 20

// Get requests a path and decodes the JSON response into v.
func (c *Client) Get(ctx context.Context, path string, query url.Values, v any) error {
	return c.call(ctx, http.MethodGet, path, query, nil, v)
}

// Post sends body to a path and decodes the JSON response into v.
func (c *Client) Post(ctx context.Context, path string, query url.Values, body []byte, v any) error {
	return c.call(ctx, http.MethodPost, path, query, body, v)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, v any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.Server+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request %s %s%s: %w", method, c.Server, path, err)
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("call gateway %s: %w", c.Server, err)
	}
	defer res.Body.Close()
	content, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read response of %s %s%s: %w", method, c.Server, path, err)
	}
	if res.StatusCode != http.StatusOK {
		return &StatusError{StatusCode: res.StatusCode, Message: errorMessage(content)}
	}
	if err := json.Unmarshal(content, v); err != nil {
		return fmt.Errorf("decode response of %s %s%s: %w", method, c.Server, path, err)
	}
	return nil
}

func errorMessage(content []byte) string {
	var body struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(content, &body) == nil && body.Error != "" {
		return body.Error
	}
	return strings.TrimSpace(string(content))
}
