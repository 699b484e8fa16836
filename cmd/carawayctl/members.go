package main

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/control"
	"github.com/carawaylanding/carawaylanding/node"
)

func membersCommand(c *client) *ffcli.Command {
	return &ffcli.Command{
		Name:       "members",
		ShortUsage: "carawayctl members",
		ShortHelp:  "show the control hosts, whether repair is complete, and how many further losses the group survives",
		Exec:       func(ctx context.Context, _ []string) error { return c.members(ctx) },
	}
}

func (c *client) members(ctx context.Context) error {
	var s control.GroupStatus
	if err := c.get(ctx, "/admin/members", &s); err != nil {
		return err
	}
	return c.print(s, func(w *tabwriter.Writer) { printMembers(w, s) })
}

func printMembers(w *tabwriter.Writer, s control.GroupStatus) {
	fmt.Fprintln(w, "HOST\tANSWERS\tDISK\tVERSION\tFAULT")
	for _, m := range s.Members {
		disk := "kept"
		switch {
		case !m.Reachable:
			disk = "?"
		case m.Fault != "":
			disk = "not readable"
		case !m.DiskKept:
			disk = "another: replace the member"
		}
		fmt.Fprintf(w, "%s\t%t\t%s\t%d\t%s\n", m.Host, m.Reachable, disk, m.Version, m.Fault)
	}
	fmt.Fprintf(w, "version %d, epoch %d\n", s.Version, s.Epoch)
	switch {
	case s.Epoch == 0:
		fmt.Fprintln(w, "the control hosts have not formed a group yet: start all that -control names")
	case !s.HasQuorum:
		fmt.Fprintln(w, "no majority answers: edits are refused, and requests are still served; restart a host with its disk")
	case s.Joint:
		fmt.Fprintln(w, "a membership change is in progress: it completes once a majority of the old and of the new members answers")
	case s.RepairComplete:
		fmt.Fprintln(w, "repair complete: the disk of each member has every row")
	default:
		fmt.Fprintf(w, "repair not complete: %d of %d disks have every row\n", s.UpToDate, len(s.Members))
	}
	fmt.Fprintf(w, "further losses survived: %d\n", s.LossesSurvived)
}

func memberCommand(c *client) *ffcli.Command {
	return &ffcli.Command{
		Name:       "member",
		ShortUsage: "carawayctl member add|remove|replace HOST",
		ShortHelp:  "add, remove or replace one control host",
		Subcommands: []*ffcli.Command{
			memberChangeCommand(c, contract.MemberAdd, "make a host with an empty data folder a control host"),
			memberChangeCommand(c, contract.MemberRemove, "remove a control host from the group"),
			memberChangeCommand(c, contract.MemberReplace, "restore the vote of a control host that lost its disk"),
		},
		Exec: execGroup,
	}
}

func memberChangeCommand(c *client, action contract.MemberAction, help string) *ffcli.Command {
	fs := flag.NewFlagSet(string(action), flag.ContinueOnError)
	fs.SetOutput(c.errOut)
	addr := fs.String("addr", "", "link address (IP:port) of the host, needed if the settings of the other hosts do not name it")
	return &ffcli.Command{
		Name:       string(action),
		ShortUsage: "carawayctl member " + string(action) + " [-addr IP:port] HOST",
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return fmt.Errorf("%w: name one host", errUsage)
			}
			return c.changeMember(ctx, contract.MemberRequest{Action: action, Host: contract.HostID(args[0]), Addr: *addr})
		},
	}
}

// changeMember sends the request to the first host only.
func (c *client) changeMember(ctx context.Context, m contract.MemberRequest) error {
	var g contract.Group
	hosts := c.hosts()
	if len(hosts) == 0 {
		return fmt.Errorf("%w: -admin is empty: give IP:port of a host", errUsage)
	}
	if err := c.postTo(ctx, hosts[0], "/admin/members", m, &g); err != nil {
		return err
	}
	return c.print(g, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "epoch %d: members", g.Epoch)
		for _, member := range g.Members {
			fmt.Fprintf(w, " %s", member.Host)
		}
		fmt.Fprintln(w)
	})
}

func editsCommand(c *client) *ffcli.Command {
	return &ffcli.Command{
		Name:       "edits",
		ShortUsage: "carawayctl edits",
		ShortHelp:  "show the last accepted edits: version, time, edit ID, change",
		Exec: func(ctx context.Context, _ []string) error {
			var a node.EditsAnswer
			if err := c.get(ctx, "/admin/edits", &a); err != nil {
				return err
			}
			return c.print(a, func(w *tabwriter.Writer) {
				fmt.Fprintln(w, "VERSION\tTIME\tEDIT\tCHANGE")
				for _, e := range a.Edits {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", e.Version, e.At.UTC().Format(time.RFC3339), e.ID, e.Change)
				}
			})
		},
	}
}
