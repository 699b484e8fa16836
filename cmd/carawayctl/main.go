// Carawayctl is the operators' tool: it edits the two tables and shows what
// the system does.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/carawaylanding/carawaylanding/version"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	c := &client{out: os.Stdout}
	fs := flag.NewFlagSet("carawayctl", flag.ContinueOnError)
	fs.StringVar(&c.admin, "admin", "127.0.0.1:9090", "IP:port of a host's operators' interface")
	fs.StringVar(&c.format, "o", "table", "output: table or json")
	root := &ffcli.Command{
		ShortUsage: "carawayctl [-admin IP:port] COMMAND",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix("CARAWAYCTL")},
		Subcommands: []*ffcli.Command{
			applyCommand(c),
			outcomeCommand(c),
			upstreamsCommand(c),
			versionCommand(c),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), args)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.Is(err, errConflict):
		fmt.Fprintln(os.Stderr, err)
		return exitConflict
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}

func versionCommand(c *client) *ffcli.Command {
	return &ffcli.Command{
		Name:      "version",
		ShortHelp: "print the version",
		Exec: func(context.Context, []string) error {
			fmt.Fprintln(c.out, "carawayctl", version.Version)
			return nil
		},
	}
}
