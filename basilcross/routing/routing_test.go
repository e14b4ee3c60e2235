package routing_test

import (
	"fmt"
	"testing"

	"basilcross.example/basilcross/routing"
	"gotest.tools/v3/assert"
)

func ExampleTable_Find() {
	t := routing.New(&routing.Config{Routes: []routing.Route{
		{Name: "all", Host: "cakes.example", Prefix: "/"},
		{Name: "lists", Host: "cakes.example", Prefix: "/lists/"},
	}})
	fmt.Println(t.Find("cakes.example", "/lists/graz").Name)
	fmt.Println(t.Find("cakes.example", "/lists").Name)
	// Output:
	// lists
	// all
}

// Guards against a route that is chosen by a shorter prefix, by a prefix that ends within
// a path segment, or for another host; host names are case-insensitive.
func TestFind(t *testing.T) {
	table := routing.New(&routing.Config{Routes: []routing.Route{
		{Name: "a", Host: "one.example", Prefix: "/a/"},
		{Name: "ab", Host: "one.example", Prefix: "/a/b/"},
		{Name: "other", Host: "Two.example", Prefix: "/a/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"one.example", "/a/", "a"},
		{"one.example", "/a/b", "a"},
		{"one.example", "/a/b/", "ab"},
		{"one.example", "/a/b/c/d", "ab"},
		{"ONE.example:8080", "/a/x", "a"},
		{"two.example", "/a/b/c", "other"},
		{"one.example", "/", ""},
		{"one.example", "/ab/", ""},
		{"three.example", "/a/", ""},
		{"one.example", "", ""},
	} {
		got := ""
		if r := table.Find(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s %s", c.host, c.path)
	}
}

// Guards against shares that hold only on average: over every ten requests each service
// must get its share. New weights must not be distorted by the route's earlier ones.
func TestSplitterKeepsShares(t *testing.T) {
	var s routing.Splitter
	r := &routing.Route{Name: "r", Split: []routing.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	count := map[string]int{}
	for i := range 1000 {
		count[s.Next(r)]++
		if i%10 == 9 {
			assert.Equal(t, count["b"], (i+1)/10)
		}
	}
	assert.Equal(t, count["c"], 0)
	r = &routing.Route{Name: "r", Split: []routing.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	count = map[string]int{}
	for range 100 {
		count[s.Next(r)]++
	}
	assert.Assert(t, count["a"] >= 45 && count["a"] <= 55)
}
