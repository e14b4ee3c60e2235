package seat_test

import (
	"context"
	"fmt"
	"time"

	"basilcross.example/basilcross/seat"
	"basilcross.example/basilcross/table"
)

// An instance claims a free seat and acts only while it has authority.
func Example() {
	ctx, store := context.Background(), &table.Memory{}
	s := seat.Seat{Name: "graz", Self: seat.Record{Holder: "gw-1", Incarnation: "a"}}
	if err := s.Observe(time.Now(), nil); err != nil {
		fmt.Println(err)
	}
	if !s.Free() {
		return
	}
	tx, err := s.Claim(time.Now(), "token-1")
	if err != nil {
		fmt.Println(err)
	}
	tx.ReadKeys = []string{seat.RowKey("graz")}
	res, err := store.Transact(ctx, tx)
	if err != nil {
		fmt.Println(err)
	}
	if err := s.Observe(time.Now(), &res.Rows[0]); err != nil {
		fmt.Println(err)
	}
	if s.Authority().Valid(time.Now()) {
		fmt.Println("leading")
	}
	// Output: leading
}
