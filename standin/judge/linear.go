package judge

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout bounds the search for an order of one history's operations.
const linearizabilityTimeout = 20 * time.Second

// registerOp is an operation on one key: a write of a value, or a read.
type registerOp struct {
	key   string
	write bool
	value string
}

// registerModel is a variable per key, empty at first.
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

// Linearizable tells whether the reads and writes of every key can have
// happened one after another, each between its sending and its answer. Writes
// whose outcome is unknown may have happened at any later time, or never.
// Targets keep values in memory while they own a key, so a second owner shows
// as a read of what was overwritten. An answer that took too long to find is
// taken as yes and told by complete.
func (h *History) Linearizable() (yes, complete bool) {
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
