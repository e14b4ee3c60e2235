package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
)

// maxSlots bounds the slots of a target, far above what targets have.
const maxSlots = 1 << 16

// InstanceError reports an entry of the instance list that is invalid.
type InstanceError struct {
	// ID is the entry's ID, empty if it has none, and Number its place in the list, from 0.
	ID     string
	Number int
	Cause  error
}

func (e *InstanceError) Error() string {
	return fmt.Sprintf("entry %d of the instance list, with the ID %q, is invalid: %v", e.Number, e.ID, e.Cause)
}

// Unwrap returns what is wrong with the entry.
func (e *InstanceError) Unwrap() error { return e.Cause }

// Instances returns the list of instances; an unchanged one is not transferred
// again. Invalid entries are left out and reported to OnInvalid. One under the ID of an instance
// that was listed before leaves that as it was.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.BaseURL+InstancesPath, nil)
	if err != nil {
		return nil, fmt.Errorf("create request for the instance list: %w", err)
	}
	req.Header.Set("If-None-Match", c.etag)
	res, err := c.httpClient().Do(req)
	if err != nil {
		return nil, fmt.Errorf("request instance list: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	switch res.StatusCode {
	case http.StatusNotModified:
		return c.instances, nil
	case http.StatusOK:
	default:
		return nil, &StatusError{Path: InstancesPath, Status: res.StatusCode}
	}
	content, err := readWhole(res)
	if err != nil {
		return nil, fmt.Errorf("read instance list from %s: %w", c.BaseURL, err)
	}
	var entries []json.RawMessage
	if err := json.Unmarshal(content, &entries); err != nil {
		return nil, fmt.Errorf("decode instance list from %s: %w", c.BaseURL, err)
	}
	c.instances, c.etag = c.decodeInstances(entries), res.Header.Get("ETag")
	return c.instances, nil
}

func (c *Client) decodeInstances(entries []json.RawMessage) []Instance {
	known := map[string]Instance{}
	for _, i := range c.instances {
		known[i.ID] = i
	}
	list := make([]Instance, 0, len(entries))
	for n, text := range entries {
		var i Instance
		err := json.Unmarshal(text, &i)
		if err == nil {
			err = i.check()
		}
		if err == nil {
			list = append(list, i)
			continue
		}
		var named struct {
			ID string `json:"id"`
		}
		// An entry without a readable ID is that of no known instance.
		_ = json.Unmarshal(text, &named)
		if c.OnInvalid != nil {
			c.OnInvalid(&InstanceError{ID: named.ID, Number: n, Cause: err})
		}
		if before, ok := known[named.ID]; ok {
			list = append(list, before)
		}
	}
	return list
}

// check returns what is wrong with the entry.
func (i *Instance) check() error {
	_, port, err := net.SplitHostPort(i.Address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("port %q: want 1 to 65535", port)
	}
	switch {
	case i.ID == "":
		return fmt.Errorf("field id: want a name")
	case i.Slots < 0 || i.Slots > maxSlots:
		return fmt.Errorf("field slots: got %d, want 0 to %d", i.Slots, maxSlots)
	}
	return nil
}
