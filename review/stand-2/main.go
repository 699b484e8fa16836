// Stand2 runs the scripted cases of the second review: the project's own processes on
// loopback addresses, with stand-ins for workers, clients and the platform.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// A scenario plays one case. It returns the breaks of the rule that it looks for.
type scenario func(s *system, trouble bool) ([]string, error)

// scenarios holds the cases, and below them the plays that the report names: one that is no
// case, two random ones, and one for an open issue.
var scenarios = map[string]scenario{
	"suspects": suspects, "reborn": reborn, "moved": moved, "machines": machines, "pending": pending,
	"cancelled": cancelled, "chaos": chaos, "fuzz": fuzz, "leaderless": leaderless,
}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the root of the repository")
	record := flag.String("record", "record.txt", "the file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	keep := flag.Bool("keep", false, "keep the logs of the processes")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(2)
	}
	s, err := newSystem(*root, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	// The case ends by itself well before two minutes have passed.
	time.AfterFunc(115*time.Second, func() {
		s.note("the case took too long")
		s.down(*keep)
		os.Exit(2)
	})
	breaks, err := play(s, *trouble)
	if err != nil {
		s.note("the case could not run", "err", err)
	}
	for _, b := range breaks {
		s.note("RESULT: broken", "what", b)
		fmt.Println("broken:", b)
	}
	if err == nil && len(breaks) == 0 {
		s.note("RESULT: the rule held")
		fmt.Println("the rule held")
	}
	s.down(*keep)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case len(breaks) > 0:
		os.Exit(1)
	}
}
