// Command takeover embeds parts of the library in a program of its own: a
// planner, two targets with guards, and renewals. One target stops answering,
// its lease ends, and the other one takes its shards over.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/grant"
	"basilcross.example/basilcross/plan"
	"basilcross.example/basilcross/shard"
	"basilcross.example/basilcross/zone"
)

// leaseDuration is short, so that the program ends soon.
const leaseDuration = 200 * time.Millisecond

func main() {
	run(os.Stdout)
}

// fleet is two targets in this process, in place of servers elsewhere.
type fleet struct {
	current *assignment.Assignment
	guards  map[string]*grant.Guard
	status  map[string]grant.Status
}

func run(out io.Writer) {
	f := &fleet{
		current: &assignment.Assignment{Service: "shelf"},
		guards:  map[string]*grant.Guard{"t1": {Incarnation: "a"}, "t2": {Incarnation: "b"}},
		status:  map[string]grant.Status{},
	}
	input := plan.Input{Sharded: true, InitialShards: 4, StartupDone: true}
	for _, id := range []string{"t1", "t2"} {
		input.Listed = append(input.Listed, plan.ListedTarget{Target: assignment.Target{ID: id, Slots: 1, Fenced: true}})
	}
	f.current = plan.Next(f.current, input).Next
	f.renew("t1", "t2")
	key := f.keyOwnedBy("t1")
	fmt.Fprintln(out, key, "is served by", f.serve(key))

	// t1 gets no renewals any more. Only after its lease has ended may the
	// planner hear of it.
	time.Sleep(2 * leaseDuration)
	fmt.Fprintln(out, "t1 would answer:", f.handle("t1", key))
	input.Released = []zone.Release{{Target: "t1", Generation: 1}}
	f.current = plan.Next(f.current, input).Next
	f.renew("t2")
	fmt.Fprintln(out, key, "is served by", f.serve(key))
}

// renew gives targets their lease and grants. A target must have issued a
// stamp before, which the first order asks for.
func (f *fleet) renew(targets ...string) {
	for _, id := range targets {
		t, _ := f.current.Target(id)
		status := f.guards[id].Apply(time.Now(), grant.Order{})
		order := grant.Order{
			Incarnation: status.Incarnation, Stamp: status.Stamp, Lease: leaseDuration, Version: t.GrantsVersion, Full: true,
		}
		for _, s := range f.current.OwnedBy(id) {
			order.Grants = append(order.Grants, grant.Grant{First: s.First, Last: s.Last, Epoch: s.Epoch})
		}
		f.status[id] = f.guards[id].Apply(time.Now(), order)
	}
}

func (f *fleet) findShard(key string) shard.Shard {
	m, err := shard.New(f.current.Shards)
	if err != nil {
		return shard.Shard{}
	}
	s, _ := m.Find(shard.Hash("shelf", key))
	return s
}

// keyOwnedBy returns a key that a target owns.
func (f *fleet) keyOwnedBy(target string) string {
	for i := 0; ; i++ {
		if key := fmt.Sprint("book-", i); f.findShard(key).Owner == target {
			return key
		}
	}
}

// serve sends a request for the key to its owner.
func (f *fleet) serve(key string) string {
	owner := f.findShard(key).Owner
	return owner + ": " + f.handle(owner, key)
}

// handle is what a target does with a request.
func (f *fleet) handle(target, key string) string {
	s := f.findShard(key)
	admission, err := f.guards[target].Admit(time.Now(), shard.Hash("shelf", key), s.Epoch)
	var refused *grant.RefusedError
	if errors.As(err, &refused) {
		return "refused, " + string(refused.Reason)
	}
	defer admission.Done()
	if err := admission.Commit(func(time.Time) {}); err != nil {
		return err.Error()
	}
	return "done"
}
