package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/carawaylanding/carawaylanding/host"
)

func upstreamsCommand(c *client) *ffcli.Command {
	return &ffcli.Command{
		Name:       "upstreams",
		ShortUsage: "carawayctl upstreams",
		ShortHelp:  "show the upstreams that have been announced to the host",
		Exec:       func(ctx context.Context, _ []string) error { return c.upstreams(ctx) },
	}
}

func (c *client) upstreams(ctx context.Context) error {
	var workers []host.Worker
	if err := c.get(ctx, "/admin/upstreams", &workers); err != nil {
		return err
	}
	return c.print(workers, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "WORKER\tDOMAIN\tRACK\tPOOLS\tSLOTS\tDRAINING")
		for _, u := range workers {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%t\n", u.Host, u.Location.Domain, u.Location.Rack, strings.Join(u.Pools, ","), u.Capacity.Slots, u.Draining)
		}
	})
}
