package instance_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"basilcross.example/platform"
	"gotest.tools/v3/assert"
)

// oddRows returns rows of another writer for a service: malformed ones, and ones in the form of a target's with a value that none has.
func oddRows(service string) []string {
	row := func(address, born, zone, slots, state, seq, warmup string) string {
		return fmt.Sprintf(`{"address":%s,"born":%s,"info":{"service":"%s","version":"v1","zone":%s,"slots":%s},"status":{"state":%s,"seq":%s,"warmup_left":%s}}`,
			address, born, service, zone, slots, state, seq, warmup)
	}
	const address, born, zone, slots, state, seq, warmup = `"10.0.0.9:80"`, `1`, `"graz"`, `3`, `"ready"`, `1`, `"0ms"`
	nested := strings.Repeat("[", 40_000)
	rows := []string{
		"", "null", "[]", "7", "\xff\xfe\x00", nested, strings.Repeat(`{"address":`, 4000), `{"address":` + nested,
		strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
		row(address, strings.Repeat("[", 9000)+strings.Repeat("]", 9000), zone, slots, state, seq, warmup),
	}
	for _, v := range []string{`"10.0.0.9:99999"`, `"10.0.0.9:65536"`, `"10.0.0.9:0"`, `"10.0.0.9:-1"`, `"10.0.0.9:"`, `":80"`, `":0"`, `"10.0.0.9:http"`, `"10.0.0.999:80"`, `"0.0.0.0:80"`, `"255.255.255.255:80"`} {
		rows = append(rows, row(v, born, zone, slots, state, seq, warmup))
	}
	for _, v := range []string{`0`, `-1`, `1e400`, `99999999999999999999`, `9223372036854775807`, `-9223372036854775808`, `4102444800000`} {
		rows = append(rows, row(address, v, zone, slots, state, seq, warmup), row(address, v, zone, slots, `"draining"`, seq, warmup))
	}
	for _, v := range []string{`-1`, `0`, `1e400`, `99999999999999999999`, `9223372036854775807`, `1000000000`} {
		rows = append(rows, row(address, born, zone, v, state, seq, warmup))
	}
	for _, v := range []string{`-1`, `1e400`, `99999999999999999999`, `9223372036854775807`, `-9223372036854775808`} {
		rows = append(rows, row(address, born, zone, slots, state, v, warmup))
	}
	for _, v := range []string{`"-1s"`, `"2540400h"`, `"9999999999h"`, `"1e400s"`} {
		rows = append(rows, row(address, born, zone, slots, state, seq, v))
	}
	return append(rows, row(address, born, `""`, slots, state, seq, warmup), row(address, born, `"`+strings.Repeat("z", 40_000)+`"`, slots, state, seq, warmup))
}

// Guards against an instance that ends, stops to follow the list of targets, or sends requests to targets that cannot be, since another
// writer has left odd rows in the list: under IDs of their own, and under those of targets.
func TestOddRowsDisturbNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTarget("m1", "menus", false)
	f.startTarget("l1", "lists", true)
	f.startTarget("l2", "lists", true)
	one := f.start("one")
	one.awaitReady(t)
	f.awaitResponse(one, "/menus/x", 0, "m1")
	for _, key := range []int{0, 30_000, 65_535} {
		f.awaitResponse(one, "/lists/x", key, "l")
	}
	for service, known := range map[string]string{"menus": "m1", "lists": "l1"} {
		for n, text := range oddRows(service) {
			f.store.Put(platform.TargetTable, known, []byte(text))
			f.store.Put(platform.TargetTable, fmt.Sprintf("odd-%s-%d", service, n), []byte(text))
		}
		f.setTarget(known, service, "ready")
	}
	// All rows have arrived once a target is followed that was written after them.
	f.startTarget("o1", "other", false)
	f.configure(2, "other")
	f.awaitResponse(one, "/menus/x", 0, "o1")
	f.configure(3, "menus")
	f.awaitResponse(one, "/menus/x", 0, "m1")
	failed := 0
	for n := range 60 {
		status, body := f.call(one, "/menus/x", 0)
		if status != http.StatusOK {
			failed++
			t.Logf("menus: %d %s", status, body)
		}
		status, body = f.call(one, "/lists/x", n*1000)
		if status != http.StatusOK {
			failed++
			t.Logf("lists, key %d: %d %s", n*1000, status, body)
		}
	}
	assert.Equal(t, failed, 0)
	// A later instance reads all rows at once.
	two := f.start("two", one.control)
	two.awaitReady(t)
	f.awaitResponse(two, "/menus/x", 0, "m1")
	for range 20 {
		status, body := f.call(two, "/menus/x", 0)
		assert.Equal(t, status, http.StatusOK, body)
	}
	// A target whose ID an odd row had is still followed.
	f.startTarget("m2", "menus", false)
	f.setTarget("m1", "menus", "draining")
	time.Sleep(2 * time.Second)
	for range 10 {
		_, body := f.call(one, "/menus/x", 0)
		assert.Assert(t, strings.HasPrefix(body, "m2"), body)
	}
}
