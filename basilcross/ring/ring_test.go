package ring_test

import (
	"fmt"

	"basilcross.example/basilcross/ring"
)

func ExampleRing() {
	r := ring.New[string](1)
	fmt.Println(r.Offer("first"), r.Offer("second"), r.Dropped())
	fmt.Println(<-r.Items())
	// Output:
	// true false 1
	// first
}
