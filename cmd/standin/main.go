// Standin runs one stand-in upstream as its own process, for demonstrations
// and tests.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/carawaylanding/carawaylanding/internal/standin"
)

// readHeaderTimeout limits the time to read the header of a request.
const readHeaderTimeout = 10 * time.Second

func main() {
	addr := flag.String("addr", "127.0.0.1:7000", "IP:port to listen on")
	flag.Parse()
	srv := &http.Server{Addr: *addr, Handler: new(standin.Upstream).Handler(), ReadHeaderTimeout: readHeaderTimeout}
	if err := srv.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
