package refusal_test

import (
	"fmt"
	"net/http/httptest"
	"time"

	"basilcross.example/basilcross/refusal"
)

func ExampleError_Write() {
	e := refusal.New(refusal.QueueFull, "too many requests wait for the target")
	e.RetryAfter = 1500 * time.Millisecond
	w := httptest.NewRecorder()
	e.Write(w)
	fmt.Println(w.Code, w.Header().Get(refusal.OutcomeHeader), w.Header().Get("Retry-After"))
	fmt.Print(w.Body)
	// Output:
	// 429 didNotRun 2
	// {"cause":300,"name":"queueFull","outcome":"didNotRun","retryAfterMs":1500,"detail":"too many requests wait for the target"}
}
