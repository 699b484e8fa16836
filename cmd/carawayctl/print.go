package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

func (c *client) checkFormat() error {
	if c.format == formatTable || c.format == formatJSON {
		return nil
	}
	return fmt.Errorf("%w: -o %q is not known: give table or json", errUsage, c.format)
}

// say prints a line for people; with -o json it goes to the error output.
func (c *client) say(format string, args ...any) {
	out := c.out
	if c.format == formatJSON {
		out = c.errOut
	}
	fmt.Fprintf(out, format+"\n", args...)
}

// print shows a value: as JSON with -o json, else as the table that rows
// writes, a line a row with tabs between the columns.
func (c *client) print(v any, rows func(w *tabwriter.Writer)) error {
	if c.format == formatJSON {
		enc := json.NewEncoder(c.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	rows(w)
	return w.Flush()
}
