// Carawayctl is the command-line tool for operators. It edits the tables of routes
// and pools, and shows the state of the system.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/carawaylanding/carawaylanding/version"
)

// Exit codes.
const (
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2
	exitConflict   = 3
	exitDiffers    = 4
	exitNotInForce = 5
)

// exitCodes maps errors to exit codes. All other errors have exitFailed.
var exitCodes = []struct {
	err  error
	code int
}{
	{flag.ErrHelp, exitUsage},
	{errUsage, exitUsage},
	{errConflict, exitConflict},
	{errDiffers, exitDiffers},
	{errNotInForce, exitNotInForce},
}

// errUsage means that the command line is invalid.
var errUsage = errors.New("usage")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run runs one command and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	c := &client{out: out, errOut: errOut}
	fs := flag.NewFlagSet("carawayctl", flag.ContinueOnError)
	fs.SetOutput(errOut)
	c.bind(fs)
	root := &ffcli.Command{
		ShortUsage: "carawayctl [-admin IP:port,...] [-o table|json] COMMAND",
		LongHelp:   exitCodesHelp,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix("CARAWAYCTL")},
		Subcommands: []*ffcli.Command{
			applyCommand(c, bothTables),
			tableCommand(c, routesTable),
			tableCommand(c, poolsTable),
			outcomeCommand(c),
			upstreamsCommand(c),
			statusCommand(c),
			drainCommand(c),
			evacuateCommand(c),
			membersCommand(c),
			memberCommand(c),
			editsCommand(c),
			backupCommand(c),
			restoreCommand(c),
			burnCommand(c),
			loadCommand(c),
			versionCommand(c),
		},
		Exec: execGroup,
	}
	for _, sub := range root.Subcommands {
		c.bindCommon(sub)
	}
	err := root.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	if err == nil {
		err = c.checkFormat()
	}
	if err == nil {
		err = root.Run(ctx)
	}
	return reportError(errOut, err)
}

// bind adds the flags that all commands share.
func (c *client) bind(fs *flag.FlagSet) {
	fs.StringVar(&c.admin, "admin", "127.0.0.1:9090", "IP:port of the admin interface of a host; several, comma-separated, are tried in turn")
	fs.StringVar(&c.format, "o", formatTable, "output format: table or json")
}

// bindCommon adds the shared flags to a command and its subcommands, so that they
// may also follow the command's name.
func (c *client) bindCommon(cmd *ffcli.Command) {
	if cmd.FlagSet == nil {
		cmd.FlagSet = flag.NewFlagSet(cmd.Name, flag.ContinueOnError)
		cmd.FlagSet.SetOutput(c.errOut)
	}
	c.bind(cmd.FlagSet)
	for _, sub := range cmd.Subcommands {
		c.bindCommon(sub)
	}
}

// exitCodesHelp documents the exit codes and the environment variables.
const exitCodesHelp = `Exit codes: 0 success; 1 failure; 2 invalid command line; 3 version conflict with
another edit; 4 diff found a difference; 5 not yet in force everywhere (apply -wait).
Environment variables that replace flags: CARAWAYCTL_ADMIN, CARAWAYCTL_O.`

// reportError prints err, unless it is errDiffers or a request for help, and
// returns the exit code.
func reportError(errOut io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	if !errors.Is(err, flag.ErrHelp) && !errors.Is(err, errDiffers) {
		fmt.Fprintln(errOut, "carawayctl:", err)
	}
	for _, e := range exitCodes {
		if errors.Is(err, e.err) {
			return e.code
		}
	}
	return exitFailed
}

// execGroup is the Exec of a command that only has subcommands. It fails, because
// no subcommand, or an unknown one, was given.
func execGroup(_ context.Context, args []string) error {
	if len(args) == 0 {
		return flag.ErrHelp
	}
	return fmt.Errorf("%w: %q is not a command: see carawayctl -h", errUsage, strings.Join(args, " "))
}

func versionCommand(c *client) *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "carawayctl version",
		ShortHelp:  "print the version",
		Exec: func(context.Context, []string) error {
			fmt.Fprintln(c.out, "carawayctl", version.Version)
			return nil
		},
	}
}
