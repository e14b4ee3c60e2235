// Package platform reaches the platform's table service, object store and
// instance list over HTTP. It is a thin adapter: another platform needs
// another one, and nothing else changes.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"

	"basilcross.example/basilcross/object"
	"basilcross.example/basilcross/table"
)

// Paths of the platform's services.
const (
	TransactPath  = "/table/transact"
	ObjectPath    = "/objects/"
	InstancesPath = "/instances"
)

// maxResponseBytes bounds what is read of one answer.
const maxResponseBytes = 64 << 20

// Instance is an entry of the platform's instance list, which lags.
type Instance struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
	// Role is "gateway" or "target".
	Role    string `json:"role"`
	Service string `json:"service,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	Fenced  bool   `json:"fenced,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Roles of instances.
const (
	GatewayRole = "gateway"
	TargetRole  = "target"
)

// StatusError is an answer other than 200.
type StatusError struct {
	Path   string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered %d to %s", e.Status, e.Path)
}

// Client reaches the platform at Base, such as "http://10.0.0.1:7000". A zero
// HTTP field uses http.DefaultClient.
type Client struct {
	BaseURL    string
	HTTPClient *http.Client

	mu        sync.Mutex
	etag      string
	instances []Instance
}

// Transact carries out a table transaction.
func (c *Client) Transact(ctx context.Context, tx table.Transaction) (table.Result, error) {
	var res table.Result
	err := c.callJSON(ctx, http.MethodPost, TransactPath, tx, &res)
	if err == nil {
		return res, nil
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return res, &table.NotSentError{Cause: err}
	}
	return res, fmt.Errorf("transact: %w", err)
}

// Get returns an object's content.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	content, err := c.send(ctx, http.MethodGet, ObjectPath+url.PathEscape(name), nil)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, &object.NotFoundError{Name: name}
	}
	return content, err
}

// Put stores an object.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	_, err := c.send(ctx, http.MethodPut, ObjectPath+url.PathEscape(name), content)
	return err
}

// Instances returns the platform's list of instances. A list that has not
// changed is not sent again.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.BaseURL+InstancesPath, nil)
	if err != nil {
		return nil, fmt.Errorf("instances: %w", err)
	}
	req.Header.Set("If-None-Match", c.etag)
	res, err := c.httpClient().Do(req)
	if err != nil {
		return nil, fmt.Errorf("instances: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	switch res.StatusCode {
	case http.StatusNotModified:
		return c.instances, nil
	case http.StatusOK:
	default:
		return nil, &StatusError{Path: InstancesPath, Status: res.StatusCode}
	}
	var list []Instance
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&list); err != nil {
		return nil, fmt.Errorf("instances: %w", err)
	}
	c.instances, c.etag = list, res.Header.Get("ETag")
	return list, nil
}

func (c *Client) httpClient() *http.Client {
	if c.HTTPClient == nil {
		return http.DefaultClient
	}
	return c.HTTPClient
}

func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) error {
	var content []byte
	if in != nil {
		var err error
		if content, err = json.Marshal(in); err != nil {
			return fmt.Errorf("encode: %w", err)
		}
	}
	answer, err := c.send(ctx, method, path, content)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, content []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(content))
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	res, err := c.httpClient().Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, &StatusError{Path: path, Status: res.StatusCode}
	}
	return io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
}
