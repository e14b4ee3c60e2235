// Package object is the face of the platform's object store.
package object

import (
	"context"
	"fmt"
	"slices"
	"sync"
)

// Client is implemented by each adapter to an object store.
type Client interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, content []byte) error
}

// NotFoundError says that there is no object of this name.
type NotFoundError struct {
	Name string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("object %s is missing", e.Name) }

// Memory is a Client that keeps objects in this process. The zero value is
// empty and ready.
type Memory struct {
	mu      sync.Mutex
	objects map[string][]byte
}

// Get returns a copy of an object.
func (m *Memory) Get(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	content, ok := m.objects[name]
	if !ok {
		return nil, &NotFoundError{Name: name}
	}
	return slices.Clone(content), nil
}

// Put stores a copy of content under a name.
func (m *Memory) Put(_ context.Context, name string, content []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects == nil {
		m.objects = map[string][]byte{}
	}
	m.objects[name] = slices.Clone(content)
	return nil
}
