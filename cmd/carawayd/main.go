// Carawayd is the daemon: its settings say which roles it plays.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/carawaylanding/carawaylanding/internal/ringlog"
	"github.com/carawaylanding/carawaylanding/node"
	"github.com/carawaylanding/carawaylanding/platform"
	"github.com/carawaylanding/carawaylanding/settings"
	"github.com/carawaylanding/carawaylanding/telemetry"
	"github.com/carawaylanding/carawaylanding/version"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// platformWord begins the arguments of a process on the users' platform; the
// role follows.
const platformWord = "platform"

func run(args []string) int {
	if len(args) == 2 && args[0] == platformWord {
		return runOnPlatform(args[1])
	}
	set, err := settings.Parse(args, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if set.Version {
		fmt.Println("carawayd", version.Version)
		return 0
	}
	if set.Check {
		fmt.Println("settings are valid")
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := newLogger(os.Stderr, string(set.ID))
	if err := node.Run(ctx, set, log); err != nil {
		log.Error(err, "stopped by an error")
		return exitFailed
	}
	return 0
}

func runOnPlatform(role string) int {
	out := ringlog.New(os.Stdout, telemetry.LogLinesDropped.Inc)
	defer out.Close()
	log := newLogger(out, role)
	if err := platform.Run(role, log); err != nil {
		log.Error(err, "stopped by an error")
		return exitFailed
	}
	return 0
}
