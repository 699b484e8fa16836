// Command stand plays the cases of the review: it starts the programs of the project as
// separate processes on loopback addresses, and plays the workers, clients and operator.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// limit is how long a case may take.
const limit = 117 * time.Second

// scenario plays a case. It reports whether the rule was broken.
type scenario struct {
	options options
	play    func(c *cluster, trouble bool) (bool, error)
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "the file for the record")
	repo := flag.String("repo", ".", "the root of the repository")
	flag.Parse()
	s, ok := scenarios()[*name]
	if !ok {
		fmt.Println("unknown case", *name)
		return notRun
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer rec.close()
	root, err := filepath.Abs(*repo)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, disruption %v", *name, trouble)
	c, err := newCluster(rec, root, s.options)
	if c != nil {
		defer c.down()
		overdue := time.AfterFunc(limit, func() {
			rec.say("the case takes too long")
			c.down()
			rec.close()
			os.Exit(notRun)
		})
		defer overdue.Stop()
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
		go func() {
			<-ended
			c.down()
			rec.close()
			os.Exit(notRun)
		}()
	}
	if err == nil {
		err = c.up()
	}
	wrong := false
	if err == nil {
		wrong, err = s.play(c, trouble)
	}
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return notRun
	case wrong:
		rec.say("the rule was broken")
		return broken
	}
	rec.say("the rule held")
	return held
}
