package judge

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout bounds the search for a valid order of a history's operations.
const linearizabilityTimeout = 20 * time.Second

// registerOp is a write of a value to one key, or a read of it.
type registerOp struct {
	key   string
	write bool
	value string
}

// registerModel models each key as an independent register that is empty at first.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(registerOp).key
			byKey[key] = append(byKey[key], o)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerOp)
		if in.write {
			return true, in.value
		}
		return output.(string) == state.(string), state
	},
}

// Linearizable reports whether the reads and writes of every key are linearizable. A write
// whose outcome is unknown may take effect at any later time, or never. Targets cache the
// values of the keys that they own, so that a second owner shows as a stale read. If the
// search times out, ok is true and complete is false.
func (h *History) Linearizable() (ok, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := int64(0)
	for _, c := range h.Calls {
		end = max(end, c.Done.UnixNano()+1)
	}
	var operations []porcupine.Operation
	for i, c := range h.Calls {
		unknown := c.Outcome == Unknown || c.Outcome == ConnectionBroken
		if c.Key == "" || c.Outcome == DidNotRun || unknown && !c.Write {
			continue
		}
		o := porcupine.Operation{
			ClientId: i, Call: c.Due.UnixNano(), Return: c.Done.UnixNano(),
			Input: registerOp{key: c.Service + "/" + c.Key, write: c.Write, value: c.Request}, Output: c.Value,
		}
		if unknown {
			o.Return = end
		}
		operations = append(operations, o)
	}
	result := porcupine.CheckOperationsTimeout(registerModel, operations, linearizabilityTimeout)
	return result != porcupine.Illegal, result != porcupine.Unknown
}
