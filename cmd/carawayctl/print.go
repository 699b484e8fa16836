package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

// print shows a value: as JSON with -o json, else as the table that rows
// writes, a line a row with tabs between the columns.
func (c *client) print(v any, rows func(w *tabwriter.Writer)) error {
	switch c.format {
	case "json":
		enc := json.NewEncoder(c.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	case "table":
		w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
		rows(w)
		return w.Flush()
	}
	return fmt.Errorf("-o %q is not known: give table or json", c.format)
}
