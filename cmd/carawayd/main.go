// Carawayd is the daemon of the dispatcher. Its settings determine which roles it
// runs: entry, agent or control.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/carawaylanding/carawaylanding/internal/asynclog"
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

// platformCommand is the first argument of a process on the users' platform. Its
// flags and its role follow.
const platformCommand = "platform"

// run runs the daemon and returns the exit code.
func run(args []string) int {
	if len(args) > 0 && args[0] == platformCommand {
		return runOnPlatform(args[1:])
	}
	cfg, err := settings.Parse(args, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if cfg.Version {
		fmt.Println("carawayd", version.Version)
		return 0
	}
	if cfg.Check {
		fmt.Println("settings are valid")
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := newLogger(os.Stderr, string(cfg.ID))
	if err := node.Run(ctx, cfg, log); err != nil {
		log.Error(err, "process failed")
		return exitFailed
	}
	return 0
}

// runOnPlatform runs one role with the settings of the users' platform. The log
// goes to stdout through a buffer that drops lines instead of blocking.
func runOnPlatform(args []string) int {
	options, err := platform.ParseOptions(args, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	out := asynclog.New(os.Stdout, telemetry.LogLinesDropped.Inc)
	defer out.Close()
	log := newLogger(out, options.Role)
	if err := platform.Run(options, log); err != nil {
		log.Error(err, "process failed")
		return exitFailed
	}
	return 0
}
