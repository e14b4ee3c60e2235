package target

import "sync"

// Values is the storage shared by the targets of a service. The zero value is empty.
type Values struct {
	mu     sync.Mutex
	values map[string]string
}

// cachedValue is a value in a target's memory, read or written under an epoch.
type cachedValue struct {
	epoch uint64
	value string
}

func (v *Values) get(key string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.values[key]
}

func (v *Values) set(key, value string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.values == nil {
		v.values = map[string]string{}
	}
	v.values[key] = value
}
