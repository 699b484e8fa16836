// Command rig starts a small deployment on loopback addresses, plays one case of the
// review, and writes what was sent, answered and run. It exits with 1 if the rule of the
// case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// limit ends a case that hangs.
const limit = 115 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "folder of the repository, with target/carawayd")
	out := flag.String("record", "record.txt", "file for the record")
	keep := flag.Bool("keep", false, "keep the logs of the processes")
	flag.Parse()
	os.Exit(play(*name, *root, *out, *keep))
}

// play plays a case and returns the exit status.
func play(name, root, out string, keep bool) int {
	c, ok := cases[name]
	root, err := filepath.Abs(root)
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	rec, err := newRecorder(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, disruption: %v", name, trouble)
	g, err := newRig(root, rec, c.size)
	if g != nil {
		defer g.stop(keep)
	}
	if err == nil {
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		done := make(chan error, 1)
		go func() { done <- c.play(g, trouble) }()
		select {
		case err = <-done:
		case <-time.After(limit):
			err = fmt.Errorf("the case took longer than %s", limit)
		case <-interrupted:
			err = fmt.Errorf("the case was interrupted")
		}
	}
	if err != nil {
		rec.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	status := 0
	others := 0
	for _, b := range g.broken {
		if !strings.HasPrefix(b, c.rule+":") {
			others++
			continue
		}
		status = 1
	}
	if status == 1 {
		fmt.Printf("%s was broken: %d times\n", c.rule, len(g.broken)-others)
	} else {
		fmt.Println(c.rule, "held")
	}
	if others > 0 {
		fmt.Println("other rules were broken:", others, "times; see the record")
	}
	return status
}
