package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/carawaylanding/carawaylanding/hubapi"
)

const evacuationsPath = "/v1/evacuations"

func evacuateCommand(c *client) *ffcli.Command {
	return &ffcli.Command{
		Name:       "evacuate",
		ShortUsage: "carawayctl evacuate begin|end DOMAIN | list",
		ShortHelp:  "keep new work away from the workers of a failure domain; -admin names control addresses of hubs",
		Subcommands: []*ffcli.Command{
			evacuationOrderCommand(c, "begin", http.MethodPut, "send no more work to the workers of a failure domain; its runs go on"),
			evacuationOrderCommand(c, "end", http.MethodDelete, "send work to the workers of a failure domain again"),
			{
				Name:       "list",
				ShortUsage: "carawayctl evacuate list",
				ShortHelp:  "show the evacuated failure domains",
				Exec:       func(ctx context.Context, _ []string) error { return c.listEvacuations(ctx) },
			},
		},
		Exec: execGroup,
	}
}

func evacuationOrderCommand(c *client, name, method, help string) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "carawayctl evacuate " + name + " DOMAIN",
		ShortHelp:  help,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || args[0] == "" {
				return fmt.Errorf("%w: name one failure domain", errUsage)
			}
			return c.orderEvacuation(ctx, method, args[0])
		},
	}
}

// orderEvacuation sends the order to the hosts in turn until one answers. An order can
// be sent any number of times.
func (c *client) orderEvacuation(ctx context.Context, method, domain string) error {
	var answer hubapi.EvacuationAnswer
	err := fmt.Errorf("%w: -admin is empty: give IP:port of a host", errUsage)
	for _, h := range c.hosts() {
		err = c.do(ctx, method, h, evacuationsPath+"/"+url.PathEscape(domain), nil, &answer)
		if !errors.Is(err, errNoAnswer) {
			break
		}
	}
	if err != nil {
		return err
	}
	return c.print(answer, func(w *tabwriter.Writer) {
		if answer.Evacuated {
			fmt.Fprintf(w, "%s is evacuated: its workers get no new work, and what runs there goes on\n", answer.Domain)
		} else {
			fmt.Fprintf(w, "%s is not evacuated\n", answer.Domain)
		}
	})
}

func (c *client) listEvacuations(ctx context.Context) error {
	var answer hubapi.EvacuationsAnswer
	if err := c.get(ctx, evacuationsPath, &answer); err != nil {
		return err
	}
	return c.print(answer, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "EVACUATED DOMAIN")
		for _, d := range answer.Evacuated {
			fmt.Fprintln(w, d)
		}
	})
}
