// Package platform is the HTTP client of the platform's table service, object
// store and instance list. Supporting another platform needs a replacement of
// this package only.
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
	"basilcross.example/basilcross/pool"
	"basilcross.example/basilcross/table"
)

// Paths of the platform's services.
const (
	TransactPath  = "/table/transact"
	ObjectPath    = "/objects/"
	InstancesPath = "/instances"
)

const maxResponseBytes = 64 << 20

// Instance is an entry of the platform's instance list. The list may be outdated.
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

// Values of Instance.Role.
const (
	GatewayRole = "gateway"
	TargetRole  = "target"
)

// StatusError is returned for a response with a status other than 200.
type StatusError struct {
	Path   string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("platform returned status %d for %s", e.Status, e.Path)
}

// Client sends requests to the platform at BaseURL, such as
// "http://10.0.0.1:7000". A nil HTTPClient means http.DefaultClient.
type Client struct {
	BaseURL    string
	HTTPClient *http.Client
	// OnInvalid, if set, is called with an *InstanceError for each invalid entry of the instance list.
	OnInvalid func(err error)

	mu        sync.Mutex
	etag      string
	instances []Instance
}

// Transact runs a table transaction. If no connection could be opened, the error
// is a *table.NotSentError; after any other error the transaction may have run.
func (c *Client) Transact(ctx context.Context, tx table.Transaction) (table.Result, error) {
	var res table.Result
	err := c.callJSON(ctx, http.MethodPost, TransactPath, tx, &res)
	if err == nil {
		return res, nil
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return res, &table.NotSentError{Cause: err}
	}
	return res, fmt.Errorf("send transaction to %s: %w", c.BaseURL, err)
}

// Get returns an object's content, or an object.NotFoundError.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	content, err := c.send(ctx, http.MethodGet, ObjectPath+url.PathEscape(name), nil)
	var statusErr *StatusError
	if errors.As(err, &statusErr) && statusErr.Status == http.StatusNotFound {
		return nil, &object.NotFoundError{Name: name}
	}
	return content, err
}

// Put stores an object.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	_, err := c.send(ctx, http.MethodPut, ObjectPath+url.PathEscape(name), content)
	return err
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
			return fmt.Errorf("encode request to %s: %w", path, err)
		}
	}
	response, err := c.send(ctx, method, path, content)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response, out); err != nil {
		return fmt.Errorf("decode response of %s: %w", path, err)
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, content []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(content))
	if err != nil {
		return nil, fmt.Errorf("create %s request for %s: %w", method, path, err)
	}
	res, err := c.httpClient().Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, &StatusError{Path: path, Status: res.StatusCode}
	}
	return readWhole(res)
}

// readWhole reads a response's body to its end. One that is longer than maxResponseBytes is an error, or its first part
// would be taken for all of it.
func readWhole(res *http.Response) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxResponseBytes {
		return nil, &pool.LengthError{Limit: maxResponseBytes}
	}
	return content, nil
}
