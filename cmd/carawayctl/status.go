package main

import (
	"context"
	"fmt"
	"net/url"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/carawaylanding/carawaylanding/node"
)

func statusCommand(c *client) *ffcli.Command {
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "carawayctl status",
		ShortHelp:  "show each -admin host, and the processes known to the first that answers",
		Exec:       func(ctx context.Context, _ []string) error { return c.status(ctx) },
	}
}

// StatusResult is the output of status with -o json.
type StatusResult struct {
	Hosts     []HostResult         `json:"hosts"`
	Processes []node.ProcessStatus `json:"processes"`
}

// HostResult is the status of one -admin host, or the error of the request.
type HostResult struct {
	Admin string `json:"admin"`
	node.StatusAnswer
	Error string `json:"error,omitempty"`
}

func (c *client) status(ctx context.Context) error {
	var res StatusResult
	for _, h := range c.hosts() {
		r := HostResult{Admin: h}
		if err := c.getFrom(ctx, h, "/admin/status", &r.StatusAnswer); err != nil {
			r.Error = err.Error()
		}
		res.Hosts = append(res.Hosts, r)
	}
	if err := c.get(ctx, "/admin/processes", &res.Processes); err != nil {
		return err
	}
	return c.print(res, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "ADMIN\tHOST\tROLES\tVERSION\tREADY\tERROR")
		for _, h := range res.Hosts {
			fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%t\t%s\n", h.Admin, h.Host, h.Roles, h.Version, h.Ready, h.Error)
		}
		fmt.Fprintln(w, "\t\t\t\t\t")
		fmt.Fprintln(w, "PROCESS\tLINKED\tVERSION")
		for _, p := range res.Processes {
			fmt.Fprintf(w, "%s\t%t\t%d\n", p.Host, p.Linked, p.Version)
		}
	})
}

func drainCommand(c *client) *ffcli.Command {
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "carawayctl drain HOST",
		ShortHelp:  "make a host or worker finish its work in progress and exit, as SIGTERM does",
		Exec:       c.drain,
	}
}

func (c *client) drain(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("%w: drain takes one HOST: see carawayctl status", errUsage)
	}
	hosts := c.hosts()
	if len(hosts) == 0 {
		return fmt.Errorf("%w: -admin is empty: give IP:port of a host", errUsage)
	}
	var answer node.DrainAnswer
	var err error
	for _, h := range hosts {
		if err = c.postTo(ctx, h, "/admin/drain?host="+url.QueryEscape(args[0]), struct{}{}, &answer); err == nil {
			return c.print(answer, func(w *tabwriter.Writer) {
				fmt.Fprintf(w, "%s is draining; it exits when its work is done\n", answer.Host)
			})
		}
	}
	return err
}
