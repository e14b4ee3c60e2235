package target

import "sync"

// Values is the storage behind the targets of a service. The zero value is
// empty.
type Values struct {
	mu     sync.Mutex
	values map[string]string
}

// cachedValue is a value as a target has it in memory.
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
