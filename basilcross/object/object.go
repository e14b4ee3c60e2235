// Package object has the client interface of the platform's object store.
package object

import (
	"context"
	"fmt"
	"slices"
	"sync"
)

// Client reads and writes objects. Get returns a *NotFoundError for a missing one.
type Client interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, content []byte) error
}

// NotFoundError reports that an object does not exist.
type NotFoundError struct {
	Name string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("object %s does not exist", e.Name) }

// Memory is a Client that stores objects in memory. The zero value is empty and
// ready to use.
type Memory struct {
	mu      sync.Mutex
	objects map[string][]byte
}

// Get returns a copy of an object's content.
func (m *Memory) Get(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	content, ok := m.objects[name]
	if !ok {
		return nil, &NotFoundError{Name: name}
	}
	return slices.Clone(content), nil
}

// Put stores a copy of content under the name.
func (m *Memory) Put(_ context.Context, name string, content []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects == nil {
		m.objects = map[string][]byte{}
	}
	m.objects[name] = slices.Clone(content)
	return nil
}
