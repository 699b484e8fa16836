// Carawayctl is the operators' tool: it edits the two tables and shows what
// the system does.
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
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitDiffers  = 4
	exitNotYet   = 5
)

// exitCodes tells the exit code of each error that has its own.
var exitCodes = []struct {
	err  error
	code int
}{
	{flag.ErrHelp, exitUsage},
	{errUsage, exitUsage},
	{errConflict, exitConflict},
	{errDiffers, exitDiffers},
	{errNotYet, exitNotYet},
}

// errUsage says that the command line is wrong.
var errUsage = errors.New("usage")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	c := &client{out: out, errOut: errOut}
	fs := flag.NewFlagSet("carawayctl", flag.ContinueOnError)
	fs.SetOutput(errOut)
	c.bind(fs)
	root := &ffcli.Command{
		ShortUsage: "carawayctl [-admin IP:port,...] [-o table|json] COMMAND",
		LongHelp:   exitHelp,
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
			membersCommand(c),
			memberCommand(c),
			editsCommand(c),
			backupCommand(c),
			restoreCommand(c),
			burnCommand(c),
			loadCommand(c),
			versionCommand(c),
		},
		Exec: groupExec,
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
	return report(errOut, err)
}

// bind adds the flags that every command takes.
func (c *client) bind(fs *flag.FlagSet) {
	fs.StringVar(&c.admin, "admin", "127.0.0.1:9090", "IP:port of a host's operators' interface; several, comma-separated, are tried in turn")
	fs.StringVar(&c.format, "o", formatTable, "output: table or json")
}

// bindCommon lets the common flags stand behind a command's name too.
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

// exitHelp documents the exit codes.
const exitHelp = `Exit codes: 0 done; 1 failed; 2 wrong command line; 3 another edit came first;
4 diff found a difference; 5 not yet in force everywhere (apply -wait).
Settings may be environment variables too: CARAWAYCTL_ADMIN, CARAWAYCTL_O.`

func report(errOut io.Writer, err error) int {
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

// groupExec is run when a command that only groups others is named alone.
func groupExec(_ context.Context, args []string) error {
	if len(args) == 0 {
		return flag.ErrHelp
	}
	return fmt.Errorf("%w: %q is no command: see carawayctl -h", errUsage, strings.Join(args, " "))
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
