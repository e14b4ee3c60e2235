// Command takeover embeds the library in a single program: a planner, two
// targets with guards, and lease renewals. One target gets no more renewals, its
// lease expires, and the other target takes over its shards.
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

// leaseDuration is short to keep the program's run time short.
const leaseDuration = 200 * time.Millisecond

func main() {
	run(os.Stdout)
}

// fleet is two targets within this process, in place of remote servers.
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

	// t1 is no longer renewed. It may be reported to the planner as released
	// only after its lease has expired.
	time.Sleep(2 * leaseDuration)
	fmt.Fprintln(out, "t1 would answer:", f.handle("t1", key))
	input.Released = []zone.Release{{Target: "t1", Generation: 1}}
	f.current = plan.Next(f.current, input).Next
	f.renew("t2")
	fmt.Fprintln(out, key, "is served by", f.serve(key))
}

// renew sends targets their lease and grants. The first, empty order requests
// the stamp that the second one needs.
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

func (f *fleet) keyOwnedBy(target string) string {
	for i := 0; ; i++ {
		if key := fmt.Sprint("book-", i); f.findShard(key).Owner == target {
			return key
		}
	}
}

func (f *fleet) serve(key string) string {
	owner := f.findShard(key).Owner
	return owner + ": " + f.handle(owner, key)
}

// handle runs a request for the key on the target, as a server would.
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
