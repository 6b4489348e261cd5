package fpfence_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/foxtailpulley/foxtailpulley/api/upstream/fpfence"
)

// An upstream wraps its own handler with the fence and serves UpstreamService on the same mux.
func Example() {
	fen := fpfence.New(fpfence.Config{
		Name:        "stock-1",
		Service:     "demo.Stock",
		Keyed:       true,
		DataCentre:  "oslo-a",
		Address:     "127.0.0.1:9000",
		Concurrency: 4,
	})
	ctx, stop := context.WithCancel(context.Background())
	done := fen.Run(ctx)

	own := http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(wri, "served")
	})
	mux := http.NewServeMux()
	mux.Handle(fen.Service())
	mux.Handle("/", fen.Handler(own))

	rec := httptest.NewRecorder()
	mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/demo.Stock/Get", nil))
	fmt.Println(rec.Header().Get("Foxtailpulley-Refused"))

	stop()
	fmt.Println(<-done)
	// Output:
	// fence
	// context canceled
}
