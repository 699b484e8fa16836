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

// checkFormat validates -o.
func (c *client) checkFormat() error {
	if c.format == formatTable || c.format == formatJSON {
		return nil
	}
	return fmt.Errorf("%w: -o %q is unknown: give table or json", errUsage, c.format)
}

// printMessage prints a message for the operator. With -o json it goes to the
// error output, so that the output is JSON only.
func (c *client) printMessage(format string, args ...any) {
	out := c.out
	if c.format == formatJSON {
		out = c.errOut
	}
	fmt.Fprintf(out, format+"\n", args...)
}

// print prints v as JSON with -o json. Otherwise it prints the table that rows
// writes: one line per row, with tabs between the columns.
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
