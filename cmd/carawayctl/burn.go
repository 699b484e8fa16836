package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/carawaylanding/carawaylanding/burn"
	"github.com/carawaylanding/carawaylanding/burn/page"
)

func burnCommand(c *client) *ffcli.Command {
	fs := flag.NewFlagSet("burn", flag.ContinueOnError)
	fs.SetOutput(c.errOut)
	html := fs.String("html", "", "file to write a self-contained HTML page with plots to")
	return &ffcli.Command{
		Name:       "burn",
		ShortUsage: "carawayctl -admin A,B,C burn [-html FILE]",
		ShortHelp:  "show the burn rates of the error budgets, over all -admin hosts together",
		FlagSet:    fs,
		Exec:       func(ctx context.Context, _ []string) error { return c.burn(ctx, *html) },
	}
}

func (c *client) burn(ctx context.Context, html string) error {
	all, err := c.burnCounts(ctx)
	if len(all) == 0 {
		return err
	}
	if err != nil {
		fmt.Fprintln(c.errOut, "hosts not counted:", err)
	}
	rep := burn.Evaluate(burn.Merge(all...), burn.DefaultTargets())
	if html != "" {
		if err := writePage(html, rep); err != nil {
			return err
		}
	}
	return c.print(rep, func(w *tabwriter.Writer) { writeBurn(w, rep) })
}

// burnCounts returns the counts of all hosts that answer, and the joined errors
// of the others.
func (c *client) burnCounts(ctx context.Context) ([]burn.Counts, error) {
	var all []burn.Counts
	var errs []error
	for _, h := range c.hosts() {
		var counts burn.Counts
		if err := c.getFrom(ctx, h, "/admin/burn", &counts); err != nil {
			errs = append(errs, err)
			continue
		}
		all = append(all, counts)
	}
	return all, errors.Join(errs...)
}

func writePage(file string, rep burn.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(page.Write(f, rep), f.Close())
}

func writeBurn(w *tabwriter.Writer, rep burn.Report) {
	fmt.Fprint(w, "ROUTE\tINDICATOR\tOBJECTIVE\tTARGET")
	for _, win := range burn.Windows {
		fmt.Fprintf(w, "\t%s", burn.WindowName(win))
	}
	fmt.Fprintln(w, "\tBAD OF ALL, 3d\tALERT")
	for _, b := range rep.Budgets {
		objective := "-"
		if b.ObjectiveMS > 0 {
			objective = fmt.Sprintf("%d ms", b.ObjectiveMS)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g%%", b.Route, b.Indicator, objective, 100*b.Target)
		for _, win := range b.Windows {
			fmt.Fprintf(w, "\t%.2f", win.Rate)
		}
		last := b.Windows[len(b.Windows)-1]
		fmt.Fprintf(w, "\t%d of %d\t%s\n", last.Bad, last.Total, b.Alert)
	}
}
